// Limits the rate of decision log lines for each kind of subject, and counts what it leaves out.
//
// The kinds do not share a limit, so that thousands of lines about one do not displace those about another. A line that
// is missing in a window without a reported count was never written, and not left out.
#pragma once

#include "marigoldlink/State/Types.h"

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace marigoldlink {

class DecisionLimiter {
public:
    using Counts = std::map<std::string, int>; // by subject

    // Lines that were left out in one or more windows.
    struct Suppressed {
        TimePoint since; // start of the first of these windows
        Counts lines;

        int total() const
        {
            int sum = 0;
            for (const auto& [subject, count] : lines)
                sum += count;
            return sum;
        }

        // The counts for the log, for example "call:3,task:120".
        std::string text() const
        {
            std::string text;
            for (const auto& [subject, count] : lines)
                text += (text.empty() ? "" : ",") + subject + ':' + std::to_string(count);
            return text;
        }
    };

    // Limits are lines per window. The default limit applies to each subject that the others do not name.
    DecisionLimiter(int defaultLimit, Counts limits)
        : m_defaultLimit(defaultLimit)
        , m_limits(std::move(limits))
    {
        for (const auto& [subject, limit] : m_limits)
            m_written[subject] = 0;
    }

    // True if a line about the subject may be written now. Otherwise it is counted as left out.
    bool admit(const std::string& subject, TimePoint now)
    {
        closeWindow(now);
        const auto& name = m_written.contains(subject) || m_written.size() < s_maxSubjects ? subject : s_otherSubject;
        auto& written = m_written[name];
        if (written < limit(name)) {
            ++written;
            return true;
        }
        ++m_suppressed[name];
        return false;
    }

    // Returns the counts of the windows that have ended, once.
    std::optional<Suppressed> takeSuppressed(TimePoint now)
    {
        closeWindow(now);
        return std::exchange(m_ended, std::nullopt);
    }

private:
    int limit(const std::string& subject) const
    {
        const auto found = m_limits.find(subject);
        return found == m_limits.end() ? m_defaultLimit : found->second;
    }

    void closeWindow(TimePoint now)
    {
        if (now - m_windowStart < s_window)
            return;
        if (!m_suppressed.empty()) {
            if (!m_ended)
                m_ended = Suppressed { m_windowStart, {} };
            for (const auto& [subject, count] : std::exchange(m_suppressed, {}))
                m_ended->lines[subject] += count;
        }
        for (auto& [subject, count] : m_written)
            count = 0;
        m_windowStart = now;
    }

    static constexpr Duration s_window { 1000 };
    // Subjects beyond this number share one limit and one count.
    static constexpr std::size_t s_maxSubjects = 64;
    inline static const std::string s_otherSubject { "other" };

    int m_defaultLimit;
    Counts m_limits;
    TimePoint m_windowStart;
    Counts m_written; // in the current window; keeps its keys, which bounds the subjects that are ever reported
    Counts m_suppressed; // in the current window
    std::optional<Suppressed> m_ended; // in earlier windows, not taken yet
};

} // namespace marigoldlink
