// Reads the settings of an entry instance.
#include "EntrySettings.h"

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

    Duration milliseconds(
        Settings& settings, std::string_view field, std::int64_t fallback, std::int64_t low, std::int64_t high)
    {
        return Duration(settings.integer(field, fallback, low, high));
    }

} // namespace

EntrySettings EntrySettings::load(const std::string& fileName)
{
    auto file = Settings::load(fileName);
    EntrySettings settings;
    settings.listen = endpoint(file, "listen");
    if (!file.text("advertise", "").empty())
        settings.advertise = endpoint(file, "advertise");
    settings.platform = endpoint(file, "platform");
    settings.dataCenter = DataCenterId(file.text("data_center"));
    settings.logLevel = file.choice("log_level", "info", { "debug", "info", "warning", "error" });
    settings.whenCutOff = file.choice("keys.when_cut_off", "refuse", { "refuse", "serve" }) == "serve"
        ? CutOffPolicy::Serve
        : CutOffPolicy::Refuse;
    settings.queueLimits.tickets = static_cast<std::size_t>(file.integer("limits.queued", 4096, 1, 1000000));
    settings.queueLimits.ticketsPerTeam
        = static_cast<std::size_t>(file.integer("limits.queued_per_team", 1024, 1, 1000000));
    settings.bodyBytes = static_cast<std::size_t>(file.integer("limits.body_bytes", 1048576, 1, 67108864));
    settings.defaultDeadline = milliseconds(file, "timeouts.default_deadline_ms", 30000, 1, 600000);
    settings.longestDeadline = milliseconds(file, "timeouts.longest_deadline_ms", 120000, 1, 600000);
    settings.workerLease = milliseconds(file, "timeouts.worker_lease_ms", 3000, 500, 60000);
    settings.heartbeat = milliseconds(file, "timeouts.heartbeat_ms", 400, 50, 5000);
    settings.claimWindow = milliseconds(file, "timeouts.claim_window_ms", 60000, 1000, 3600000);
    settings.memberSilence = milliseconds(file, "timeouts.member_silence_ms", 3000, 500, 600000);
    settings.configAudit = milliseconds(file, "timeouts.config_audit_ms", 60000, 500, 3600000);
    settings.drainNotice = milliseconds(file, "timeouts.drain_notice_ms", 500, 0, 60000);
    file.finish();
    return settings;
}

} // namespace marigoldlink
