// Outcomes of attempts that this process made under claims, kept to answer repeated requests.
#pragma once

#include "Job.h"

#include <deque>

namespace marigoldlink {

class AttemptLog {
public:
    struct Limits {
        Duration window { 60000 }; // retention time of finished attempts
        std::size_t answerBytes { 16 * 1024 * 1024 }; // size limit of all retained response bodies
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

    // Registers a new attempt and returns its number.
    std::uint64_t begin();
    void end(std::uint64_t attempt, const JobOutcome&, TimePoint now);

    const Entry* find(std::uint64_t attempt) const;
    // True when the attempt may have been removed by expire(), so that its outcome is unknown.
    bool isExpired(std::uint64_t attempt) const { return attempt <= m_expiredUpTo; }

    void expire(TimePoint now);

private:
    Limits m_limits;
    std::map<std::uint64_t, Entry> m_entries;
    std::deque<std::uint64_t> m_ended; // ordered by end time
    std::uint64_t m_next { 1 };
    // Invariant: an attempt above this number that has no entry never ran.
    std::uint64_t m_expiredUpTo { 0 };
    std::size_t m_answerBytes { 0 };
};

} // namespace marigoldlink
