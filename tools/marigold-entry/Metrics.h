// Metrics of an entry instance: histograms for each team and class, and counters, in Prometheus' text form.
#pragma once

#include "marigoldlink/State/Errors.h"
#include "marigoldlink/State/Types.h"

#include <memory>
#include <string>

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
    void countWastedStart();

    std::string text() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace marigoldlink
