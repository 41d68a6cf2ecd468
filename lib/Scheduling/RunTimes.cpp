// Exponentially weighted mean and variance of the ratio of run time to estimate.
#include "marigoldlink/Scheduling/RunTimes.h"

#include <algorithm>
#include <cmath>

namespace marigoldlink {

namespace {

    // An end has at least 1/32 of the weight. Bursts of demand change the mix of tasks within seconds, in which a queue
    // has some hundred ends.
    constexpr int s_memory = 32;
    constexpr double s_spreadInDeviations = 2;
    // A run that takes longer than this multiple of its estimate counts as this multiple, so that one stalled run does
    // not hide the other ends.
    constexpr double s_maxRatio = 8;

    Duration scaled(Duration estimate, double factor)
    {
        return Duration(static_cast<std::int64_t>(std::llround(static_cast<double>(estimate.count()) * factor)));
    }

} // namespace

void RunTimes::record(const QueueId& queue, const ImageId& image, Duration estimate, Duration actual)
{
    if (estimate <= Duration(0) || actual < Duration(0))
        return;
    const auto ratio
        = std::min(s_maxRatio, static_cast<double>(actual.count()) / static_cast<double>(estimate.count()));
    const auto [position, isNew] = m_rows.try_emplace({ queue, image });
    auto& row = position->second;
    if (!isNew)
        m_byUpdate.erase(row.updated);
    // The prior counts as one end, so that a single run does not replace it.
    row.ends = std::min(row.ends + 1, s_memory - 1);
    const double weight = 1.0 / (row.ends + 1);
    const double difference = ratio - row.ratio;
    row.ratio += weight * difference;
    row.variance = (1 - weight) * (row.variance + weight * difference * difference);
    row.updated = ++m_updates;
    m_byUpdate.emplace(row.updated, position->first);
    if (m_rows.size() > maxRows)
        removeOldest();
}

void RunTimes::removeOldest()
{
    const auto oldest = m_byUpdate.begin();
    m_rows.erase(oldest->second);
    m_byUpdate.erase(oldest);
}

RunTimes::Row RunTimes::rowOf(const QueueId& queue, const ImageId& image) const
{
    const auto found = m_rows.find({ queue, image });
    return found == m_rows.end() ? Row {} : found->second;
}

Duration RunTimes::expected(const QueueId& queue, const ImageId& image, Duration estimate) const
{
    return scaled(estimate, rowOf(queue, image).ratio);
}

Duration RunTimes::upper(const QueueId& queue, const ImageId& image, Duration estimate) const
{
    const auto row = rowOf(queue, image);
    return scaled(estimate, row.ratio + s_spreadInDeviations * std::sqrt(row.variance));
}

} // namespace marigoldlink
