// Logging facade. A line has the prefix of its component, a short sentence and key=value fields.
//
// No other header exposes the logging library. API keys and request payloads must never be passed as fields.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace marigoldlink {

enum class LogLevel { Debug, Info, Warning, Error };

struct LogField {
    std::string_view name;
    std::string value;
};

// Logger of one component. Each of its lines starts with the prefix.
class Log {
public:
    constexpr explicit Log(std::string_view prefix)
        : m_prefix(prefix)
    {
    }

    void debug(std::string_view sentence, std::initializer_list<LogField> fields = {}) const;
    void info(std::string_view sentence, std::initializer_list<LogField> fields = {}) const;
    void warning(std::string_view sentence, std::initializer_list<LogField> fields = {}) const;
    void error(std::string_view sentence, std::initializer_list<LogField> fields = {}) const;

private:
    void write(LogLevel, std::string_view sentence, std::initializer_list<LogField>) const;

    std::string_view m_prefix;
};

// Sets the minimum level of written lines: "debug", "info", "warning" or "error". Returns false for any other name.
bool setLogLevel(std::string_view name);

} // namespace marigoldlink
