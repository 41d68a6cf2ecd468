// Platform calls of a command: each waits for its answer, and a write is resolved when its answer is lost.
#pragma once

#include "marigoldlink/Transport/HttpPlatform.h"

namespace marigoldlink {

// What is sure about a write.
enum class WriteFate {
    Applied,
    Conflict, // somebody else wrote first; nothing was written
    NotApplied, // the platform was not reached; nothing was written
    Unknown,
};

class PlatformCalls {
public:
    PlatformCalls(const Endpoint&, Duration patience);

    // Throws Error(PlatformUnavailable) when the platform does not answer in time.
    std::optional<StoredValue> read(const std::string& key);
    std::vector<StoredValue> range(const std::string& prefix);

    // Compare-and-swap of a configuration record whose version is one above the one that was read. A lost answer is
    // resolved by repeating the write and reading back until the patience ends.
    WriteFate writeConfig(const ConfigRecord&, Revision expected);
    // Compare-and-swap of any other value.
    WriteFate write(const std::string& key, const std::string& value, Revision expected);

    HttpOutcome get(const Endpoint&, const std::string& target);

private:
    template <typename Result, typename Function> Result wait(Function call);

    ReadResult tryRead(const std::string& key);
    WriteResult tryWrite(const std::string& key, const std::string& value, Revision expected);
    void pause();
    bool isOutOfTime() const;

    EventLoop m_loop;
    HttpClient m_client;
    HttpPlatform m_platform;
    TimePoint m_deadline;
};

} // namespace marigoldlink
