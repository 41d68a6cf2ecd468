// Run times of tasks, learned from the ratio of actual times to callers' estimates.
#pragma once

#include "marigoldlink/State/Fleet.h"

#include <cstdint>
#include <map>
#include <utility>

namespace marigoldlink {

// Keeps one row for each queue and image, with an exponentially weighted mean and variance of the ratio. The number of
// rows is bounded; the row that was updated least recently is removed first.
class RunTimes {
public:
    static constexpr std::size_t maxRows = 512;

    // Records a run that ended well. An estimate of zero is ignored, since it has no ratio.
    void record(const QueueId&, const ImageId&, Duration estimate, Duration actual);
    // Mean run time of a task with this estimate; the estimate itself without history.
    Duration expected(const QueueId&, const ImageId&, Duration estimate) const;
    // Mean and spread, which is two standard deviations; half of the estimate without history.
    Duration upper(const QueueId&, const ImageId&, Duration estimate) const;

    std::size_t rows() const { return m_rows.size(); }

private:
    using Key = std::pair<QueueId, ImageId>;
    struct Row {
        double ratio { 1 };
        // The spread without history is half of the estimate, which is two of these deviations.
        double variance { 0.25 * 0.25 };
        int ends { 0 }; // up to the number at which their weight is constant
        std::uint64_t updated { 0 };
    };

    Row rowOf(const QueueId&, const ImageId&) const;
    void removeOldest();

    std::map<Key, Row> m_rows;
    std::map<std::uint64_t, Key>
        m_byUpdate; // invariant: exactly the rows of m_rows, by the number of their last update
    std::uint64_t m_updates { 0 };
};

} // namespace marigoldlink
