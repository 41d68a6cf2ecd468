// Readers for settings fields used by several programs.
#include "SettingsFields.h"

#include "marigoldlink/State/Errors.h"

namespace marigoldlink {

Endpoint endpointField(Settings& settings, std::string_view field)
{
    try {
        return Endpoint::parse(settings.text(field));
    } catch (const Error&) {
        settings.reject(field, "an IPv4 address and a port, such as \"10.0.0.1:8080\"");
        return {};
    }
}

Duration millisecondsField(
    Settings& settings, std::string_view field, std::int64_t fallback, std::int64_t low, std::int64_t high)
{
    return Duration(settings.integer(field, fallback, low, high));
}

std::string logLevelField(Settings& settings)
{
    return settings.choice("log_level", "info", { "debug", "info", "warning", "error" });
}

} // namespace marigoldlink
