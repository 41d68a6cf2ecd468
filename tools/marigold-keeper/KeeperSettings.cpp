// Loads the settings of a keeper.
#include "KeeperSettings.h"

#include "../common/LimitSettings.h"
#include "../common/SettingsFields.h"

namespace marigoldlink {

KeeperSettings KeeperSettings::load(const std::string& fileName)
{
    auto file = Settings::load(fileName);
    KeeperSettings settings;
    settings.listen = endpointField(file, "listen");
    settings.platform = endpointField(file, "platform");
    settings.logLevel = logLevelField(file);
    settings.round = millisecondsField(file, "timeouts.round_ms", 1000, 50, 60000);
    settings.drainSettle = millisecondsField(file, "timeouts.drain_settle_ms", 4000, 0, 600000);
    settings.leadershipTimeout = millisecondsField(file, "timeouts.turn_ms", 4000, 200, 600000);
    settings.waveWidth = file.integer("maintenance.wave_width", 4, 1, 1000);
    settings.maintenanceRound = file.integer("maintenance.round", 0, 0, 1000000);
    settings.limits = connectionLimits(file);
    file.finish();
    return settings;
}

} // namespace marigoldlink
