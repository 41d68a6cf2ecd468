// Reads the settings of a keeper.
#include "KeeperSettings.h"

#include "marigoldlink/State/Errors.h"
#include "marigoldlink/Support/Settings.h"

namespace marigoldlink {

namespace {

    Endpoint endpoint(Settings& settings, std::string_view field)
    {
        try {
            return Endpoint::parse(settings.text(field));
        } catch (const Error&) {
            settings.reject(field, "an IPv4 address and a port, such as \"10.0.0.1:8080\"");
            return {};
        }
    }

} // namespace

KeeperSettings KeeperSettings::load(const std::string& fileName)
{
    auto file = Settings::load(fileName);
    KeeperSettings settings;
    settings.listen = endpoint(file, "listen");
    settings.platform = endpoint(file, "platform");
    settings.logLevel = file.choice("log_level", "info", { "debug", "info", "warning", "error" });
    settings.round = Duration(file.integer("timeouts.round_ms", 1000, 50, 60000));
    settings.drainSettle = Duration(file.integer("timeouts.drain_settle_ms", 4000, 0, 600000));
    settings.turn = Duration(file.integer("timeouts.turn_ms", 4000, 200, 600000));
    settings.waveWidth = file.integer("maintenance.wave_width", 4, 1, 1000);
    settings.maintenanceRound = file.integer("maintenance.round", 0, 0, 1000000);
    file.finish();
    return settings;
}

} // namespace marigoldlink
