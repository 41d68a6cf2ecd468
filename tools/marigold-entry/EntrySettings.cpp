// Loads the settings of an entry instance.
#include "EntrySettings.h"

#include "../common/LimitSettings.h"
#include "../common/SettingsFields.h"

namespace marigoldlink {

EntrySettings EntrySettings::load(const std::string& fileName)
{
    auto file = Settings::load(fileName);
    EntrySettings settings;
    settings.listen = endpointField(file, "listen");
    if (!file.text("advertise", "").empty())
        settings.advertise = endpointField(file, "advertise");
    settings.platform = endpointField(file, "platform");
    settings.dataCenter = DataCenterId(file.text("data_center"));
    settings.logLevel = logLevelField(file);
    settings.partitionPolicy = file.choice("keys.when_cut_off", "refuse", { "refuse", "serve" }) == "serve"
        ? PartitionPolicy::Serve
        : PartitionPolicy::Refuse;
    settings.queueLimits.tickets = static_cast<std::size_t>(file.integer("limits.queued", 4096, 1, 1000000));
    settings.queueLimits.ticketsPerTeam
        = static_cast<std::size_t>(file.integer("limits.queued_per_team", 1024, 1, 1000000));
    settings.limits = connectionLimits(file);
    settings.bodyBytes = static_cast<std::size_t>(file.integer("limits.body_bytes", 1048576, 1, 67108864));
    settings.defaultDeadline = millisecondsField(file, "timeouts.default_deadline_ms", 30000, 1, 600000);
    settings.maxDeadline = millisecondsField(file, "timeouts.longest_deadline_ms", 120000, 1, 600000);
    settings.workerLease = millisecondsField(file, "timeouts.worker_lease_ms", 3000, 500, 60000);
    settings.heartbeat = millisecondsField(file, "timeouts.heartbeat_ms", 400, 50, 5000);
    settings.claimWindow = millisecondsField(file, "timeouts.claim_window_ms", 60000, 1000, 3600000);
    settings.memberSilence = millisecondsField(file, "timeouts.member_silence_ms", 3000, 500, 600000);
    settings.configAudit = millisecondsField(file, "timeouts.config_audit_ms", 60000, 500, 3600000);
    settings.drainNotice = millisecondsField(file, "timeouts.drain_notice_ms", 500, 0, 60000);
    file.finish();
    return settings;
}

} // namespace marigoldlink
