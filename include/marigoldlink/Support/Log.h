// Logging facade: short sentences with a fixed prefix for each part, followed by key=value fields.
//
// The logging library stays behind this header. Keys and request payloads must never be passed as fields.
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

// A named part of the system whose prefix starts each of its log lines.
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

// Sets the lowest level that is written. Accepts "debug", "info", "warning" and "error"; returns false otherwise.
bool setLogLevel(std::string_view name);

} // namespace marigoldlink
