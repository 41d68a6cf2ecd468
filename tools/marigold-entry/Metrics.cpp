// Metrics registry based on prometheus-cpp. The HTTP server of the process serves the serialized text.
#include "Metrics.h"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace marigoldlink {

namespace {

    // Teams beyond this number share the label "other". This bounds memory use and the size of a scrape.
    constexpr std::size_t s_maxTeamLabels = 64;
    const prometheus::Histogram::BucketBoundaries s_seconds { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5,
        1, 1.4, 2.5, 5, 10, 30, 60 };

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

struct Metrics::Impl {
    using Histograms = std::map<std::pair<TeamId, Urgency>, prometheus::Histogram*>;

    prometheus::Registry registry;
    prometheus::Family<prometheus::Histogram>& waitFamily;
    prometheus::Family<prometheus::Histogram>& runFamily;
    prometheus::Family<prometheus::Counter>& answers;
    prometheus::Family<prometheus::Counter>& refusals;
    prometheus::Counter& forwards;
    prometheus::Counter& rejectedStarts;
    prometheus::Family<prometheus::Counter>& limits;
    Histograms waits;
    Histograms runs;
    std::map<TeamId, prometheus::Counter*> answerCounters;

    Impl()
        : waitFamily(prometheus::BuildHistogram()
                         .Name("marigold_queue_wait_seconds")
                         .Help("Time from acceptance to the first start.")
                         .Register(registry))
        , runFamily(prometheus::BuildHistogram()
                        .Name("marigold_run_seconds")
                        .Help("Time from the start to the whole answer.")
                        .Register(registry))
        , answers(prometheus::BuildCounter().Name("marigold_answers_total").Help("Whole answers.").Register(registry))
        , refusals(prometheus::BuildCounter()
                       .Name("marigold_refusals_total")
                       .Help("Refusals by kind of error.")
                       .Register(registry))
        , forwards(prometheus::BuildCounter()
                       .Name("marigold_forwards_total")
                       .Help("Requests passed on to a peer.")
                       .Register(registry)
                       .Add({}))
        , rejectedStarts(prometheus::BuildCounter()
                             .Name("marigold_wasted_starts_total")
                             .Help("Starts that a full worker refused.")
                             .Register(registry)
                             .Add({}))
        , limits(prometheus::BuildCounter()
                     .Name("marigold_limits_reached_total")
                     .Help("Requests and connections that were ended or refused because a limit was reached, by limit.")
                     .Register(registry))
    {
    }

    static prometheus::Histogram& histogram(
        Histograms& known, prometheus::Family<prometheus::Histogram>& family, const TeamId& team, Urgency urgency)
    {
        const bool isKnown = known.contains({ team, urgency });
        const auto label = isKnown || known.size() < s_maxTeamLabels * urgencyCount ? team : TeamId("other");
        auto& slot = known[{ label, urgency }];
        if (!slot)
            slot = &family.Add({ { "team", label.value() }, { "class", name(urgency) } }, s_seconds);
        return *slot;
    }
};

Metrics::Metrics()
    : m_impl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void Metrics::observeQueueWait(const TeamId& team, Urgency urgency, Duration wait)
{
    Impl::histogram(m_impl->waits, m_impl->waitFamily, team, urgency).Observe(seconds(wait));
}

void Metrics::observeRun(const TeamId& team, Urgency urgency, Duration time)
{
    Impl::histogram(m_impl->runs, m_impl->runFamily, team, urgency).Observe(seconds(time));
}

void Metrics::countAnswer(const TeamId& team)
{
    const bool isKnown = m_impl->answerCounters.contains(team);
    const auto label = isKnown || m_impl->answerCounters.size() < s_maxTeamLabels ? team : TeamId("other");
    auto& slot = m_impl->answerCounters[label];
    if (!slot)
        slot = &m_impl->answers.Add({ { "team", label.value() } });
    slot->Increment();
}

void Metrics::countRefusal(ErrorKind kind) { m_impl->refusals.Add({ { "kind", errorInfo(kind).name } }).Increment(); }

void Metrics::countForward() { m_impl->forwards.Increment(); }

void Metrics::countRejectedStart() { m_impl->rejectedStarts.Increment(); }

void Metrics::countLimit(std::string_view name) { m_impl->limits.Add({ { "limit", std::string(name) } }).Increment(); }

std::string Metrics::text() const { return prometheus::TextSerializer().Serialize(m_impl->registry.Collect()); }

} // namespace marigoldlink
