// Metrics of an entry instance in the Prometheus text format: histograms per team and class, and counters.
#pragma once

#include "marigoldlink/State/Errors.h"
#include "marigoldlink/State/Types.h"

#include <memory>
#include <string>
#include <string_view>

namespace marigoldlink {

class Metrics {
public:
    Metrics();
    ~Metrics();

    void observeQueueWait(const TeamId&, Urgency, Duration);
    void observeRun(const TeamId&, Urgency, Duration);
    void countAnswer(const TeamId&);
    void countRefusal(ErrorKind);
    void countForward();
    void countRejectedStart();
    // The names of the limits are a fixed set.
    void countLimit(std::string_view name);

    std::string text() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace marigoldlink
