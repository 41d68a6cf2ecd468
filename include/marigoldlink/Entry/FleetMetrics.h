// Metrics of an entry instance, in Prometheus text format: counters, gauges, and histograms by team and priority.
#pragma once

#include "marigoldlink/Entry/DecisionLimiter.h"
#include "marigoldlink/Entry/Measurements.h"

#include <memory>
#include <string>
#include <string_view>

namespace marigoldlink {

class FleetMetrics {
public:
    FleetMetrics();
    ~FleetMetrics();

    void record(const CallReport&);
    void record(const Measurement&);
    // Sets whether this instance is the coordinator. The gauges of pools and jobs are zero while it is not.
    void setCoordinator(bool isCoordinator);
    // Adds lines that the decision log left out. The limiter of the log bounds the number of subjects.
    void countUnloggedDecisions(const DecisionLimiter::Counts&);

    // The names of the limits are a fixed set.
    void countLimit(std::string_view name);

    std::string text() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace marigoldlink
