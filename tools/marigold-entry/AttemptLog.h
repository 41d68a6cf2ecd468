// What became of the attempts that this process made under claims, kept for callers that ask again.
#pragma once

#include "Job.h"

#include <deque>

namespace marigoldlink {

class AttemptLog {
public:
    struct Limits {
        Duration window { 60000 }; // finished attempts are kept for so long
        std::size_t answerBytes { 16 * 1024 * 1024 }; // whole answers are kept up to this many bytes
    };

    struct Entry {
        bool isRunning { true };
        bool hasAnswer { false };
        JobOutcome outcome;
        TimePoint endedAt;
    };

    explicit AttemptLog(Limits limits)
        : m_limits(limits)
    {
    }

    // Numbers a new attempt.
    std::uint64_t begin();
    void end(std::uint64_t attempt, const JobOutcome&, TimePoint now);

    const Entry* find(std::uint64_t attempt) const;
    // True when the attempt was so long ago that nothing is known of it any more.
    bool isForgotten(std::uint64_t attempt) const { return attempt <= m_forgottenUpTo; }

    void expire(TimePoint now);

private:
    Limits m_limits;
    std::map<std::uint64_t, Entry> m_entries;
    std::deque<std::uint64_t> m_ended; // in the order of their ends
    std::uint64_t m_next { 1 };
    // Invariant: every attempt above it that is in no entry never ran.
    std::uint64_t m_forgottenUpTo { 0 };
    std::size_t m_answerBytes { 0 };
};

} // namespace marigoldlink
