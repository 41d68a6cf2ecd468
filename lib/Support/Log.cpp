// Writes log lines through easylogging++ to standard output.
#include "marigoldlink/Support/Log.h"

#include <easylogging++.h>
#include <iostream>
#include <sstream>

INITIALIZE_EASYLOGGINGPP

namespace marigoldlink {

namespace {

    LogLevel s_minLevel = LogLevel::Info;

    void configureOnce()
    {
        static const bool configured = [] {
            el::Configurations configuration;
            configuration.setToDefault();
            configuration.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %levshort %msg");
            configuration.setGlobally(el::ConfigurationType::ToFile, "false");
            configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
            el::Loggers::reconfigureAllLoggers(configuration);
            return true;
        }();
        (void)configured;
    }

} // namespace

bool setLogLevel(std::string_view name)
{
    if (name == "debug")
        s_minLevel = LogLevel::Debug;
    else if (name == "info")
        s_minLevel = LogLevel::Info;
    else if (name == "warning")
        s_minLevel = LogLevel::Warning;
    else if (name == "error")
        s_minLevel = LogLevel::Error;
    else
        return false;
    return true;
}

void Log::write(LogLevel level, std::string_view sentence, std::initializer_list<LogField> fields) const
{
    if (level < s_minLevel)
        return;
    configureOnce();
    std::ostringstream line;
    line << m_prefix << ": " << sentence;
    for (const auto& field : fields)
        line << ' ' << field.name << '=' << field.value;
    switch (level) {
    case LogLevel::Debug:
    case LogLevel::Info:
        LOG(INFO) << line.str();
        return;
    case LogLevel::Warning:
        LOG(WARNING) << line.str();
        return;
    case LogLevel::Error:
        LOG(ERROR) << line.str();
        return;
    }
}

void Log::debug(std::string_view sentence, std::initializer_list<LogField> fields) const
{
    write(LogLevel::Debug, sentence, fields);
}

void Log::info(std::string_view sentence, std::initializer_list<LogField> fields) const
{
    write(LogLevel::Info, sentence, fields);
}

void Log::warning(std::string_view sentence, std::initializer_list<LogField> fields) const
{
    write(LogLevel::Warning, sentence, fields);
}

void Log::error(std::string_view sentence, std::initializer_list<LogField> fields) const
{
    write(LogLevel::Error, sentence, fields);
}

} // namespace marigoldlink
