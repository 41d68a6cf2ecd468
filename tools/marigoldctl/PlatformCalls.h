// Blocking platform calls for commands. The outcome of a write whose response was lost is determined by retrying and
// reading back.
#pragma once

#include "marigoldlink/Transport/HttpPlatform.h"

namespace marigoldlink {

// What is known about a write.
enum class WriteOutcome {
    Applied,
    Conflict, // another write came first; nothing was written
    NotApplied, // the platform was unreachable; nothing was written
    Unknown,
};

class PlatformCalls {
public:
    PlatformCalls(const Endpoint&, Duration timeout);

    // Throw Error(PlatformUnavailable) if the platform does not respond before the deadline.
    std::optional<StoredValue> read(const std::string& key);
    std::vector<StoredValue> range(const std::string& prefix);

    // Compare-and-swap of a configuration record whose version is one above the version that was read. After a lost
    // response the write is repeated and the record read back until the outcome is known or the deadline expires.
    WriteOutcome writeConfig(const ConfigRecord&, Revision expected);
    // Compare-and-swap of any other value.
    WriteOutcome write(const std::string& key, const std::string& value, Revision expected);

    HttpResult get(const Endpoint&, const std::string& target);

private:
    template <typename Result, typename Function> Result wait(Function call);

    ReadResult tryRead(const std::string& key);
    WriteResult tryWrite(const std::string& key, const std::string& value, Revision expected);
    void waitBeforeRetry();
    bool hasTimedOut() const;

    EventLoop m_loop;
    HttpClient m_client;
    HttpPlatform m_platform;
    TimePoint m_deadline;
};

} // namespace marigoldlink
