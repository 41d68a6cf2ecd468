// Metrics collected with prometheus-cpp. The process's own HTTP server serves them.
#include "marigoldlink/Entry/FleetMetrics.h"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <set>

namespace marigoldlink {

namespace {

    // Teams beyond this number share the label "other", which bounds memory use and the size of a scrape.
    constexpr std::size_t s_maxTeamLabels = 64;
    const prometheus::Histogram::BucketBoundaries s_seconds { 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.4, 2.5, 5,
        10, 30, 60 };
    const prometheus::Histogram::BucketBoundaries s_storeSeconds { 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1,
        2.5 };

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    // Counters of a family with one label whose values are those of an enumeration. A look-up in the family costs
    // several allocations and takes a lock, which the events of each run cannot afford.
    template <typename Value> class CountersByValue {
    public:
        void increment(prometheus::Family<prometheus::Counter>& family, const char* label, Value value)
        {
            auto& counter = m_counters[value];
            if (!counter)
                counter = &family.Add({ { label, name(value) } });
            counter->Increment();
        }

    private:
        std::map<Value, prometheus::Counter*> m_counters; // owned by the family
    };

} // namespace

struct FleetMetrics::Impl {
    template <typename Metric> using Family = prometheus::Family<Metric>;

    prometheus::Registry registry;
    Family<prometheus::Histogram>& calls;
    Family<prometheus::Counter>& outcomes;
    Family<prometheus::Histogram>& waits;
    Family<prometheus::Histogram>& jobTimes;
    Family<prometheus::Counter>& jobs;
    Family<prometheus::Counter>& runs;
    Family<prometheus::Counter>& starts;
    Family<prometheus::Histogram>& writes;
    Family<prometheus::Gauge>& instances;
    Family<prometheus::Gauge>& cores;
    Family<prometheus::Gauge>& leaving;
    Family<prometheus::Counter>& contendedMoves;
    Family<prometheus::Gauge>& openJobs;
    Family<prometheus::Gauge>& teamCores;
    Family<prometheus::Counter>& coordinatorTime;
    Family<prometheus::Counter>& orders;
    Family<prometheus::Counter>& refusals;
    Family<prometheus::Gauge>& expectedWaits;
    prometheus::Counter& loopIterations;
    prometheus::Gauge& coordinator;
    prometheus::Gauge& reservations;
    prometheus::Counter& heldBack;
    Family<prometheus::Counter>& reservationEnds;
    prometheus::Histogram& reservationTimes;
    Family<prometheus::Counter>& unlogged;
    Family<prometheus::Counter>& limits;
    CountersByValue<RunEnd> runsByEnd;
    CountersByValue<StartAnswer> startsByAnswer;
    CountersByValue<ReservationEvent> endsOfReservations;
    std::set<TeamId> knownTeams;
    std::set<ServiceId> knownPools;
    std::set<std::string> teamsWithCores; // labels

    template <typename Builder> auto& family(Builder builder, const char* name, const char* help)
    {
        return builder.Name(name).Help(help).Register(registry);
    }

    Impl()
        : calls(family(
            prometheus::BuildHistogram(), "marigold_call_seconds", "Time to the answer of a caller's call, by kind."))
        , outcomes(family(prometheus::BuildCounter(), "marigold_calls_total", "Calls by kind, team and outcome."))
        , waits(family(prometheus::BuildHistogram(), "marigold_job_wait_seconds",
              "Time from the acceptance of a job to the order of its first task."))
        , jobTimes(family(
              prometheus::BuildHistogram(), "marigold_job_seconds", "Time from the acceptance of a job to its end."))
        , jobs(family(prometheus::BuildCounter(), "marigold_jobs_ended_total", "Jobs that ended, by state."))
        , runs(family(prometheus::BuildCounter(), "marigold_runs_ended_total", "Runs of tasks that ended, by how."))
        , starts(family(prometheus::BuildCounter(), "marigold_starts_total", "Orders to start a task, by answer."))
        , writes(family(prometheus::BuildHistogram(), "marigold_journal_write_seconds",
              "Time of a write of the journal, by answer."))
        , instances(family(prometheus::BuildGauge(), "marigold_pool_instances", "Instances in a pool."))
        , cores(family(prometheus::BuildGauge(), "marigold_pool_cores", "Cores of a pool: usable, used, asked for."))
        , leaving(family(prometheus::BuildGauge(), "marigold_pool_leaving_instances",
              "Instances that get no more tasks, so that they can move to another pool."))
        , contendedMoves(family(prometheus::BuildCounter(), "marigold_contended_moves_total",
              "Moves from a busy pool to one with lower coverage."))
        , openJobs(family(prometheus::BuildGauge(), "marigold_jobs", "Jobs that are active, and that wait."))
        , teamCores(family(prometheus::BuildGauge(), "marigold_team_cores",
              "Cores of a team in pools with more demand than capacity: used, asked for, allotted."))
        , coordinatorTime(family(prometheus::BuildCounter(), "marigold_coordinator_seconds_total",
              "Time used while coordinator: processor time of the process, and elapsed time in decisions and sending."))
        , orders(family(prometheus::BuildCounter(), "marigold_orders_total", "Orders of the coordinator, by kind."))
        , refusals(family(prometheus::BuildCounter(), "marigold_admission_refusals_total",
              "Submissions that admission control refused, by pool and reason."))
        , expectedWaits(family(prometheus::BuildGauge(), "marigold_pool_expected_wait_seconds",
              "Expected wait of a job that arrives now, by pool."))
        , loopIterations(family(prometheus::BuildCounter(), "marigold_loop_iterations_total",
              "Iterations of the event loop while coordinator.")
                             .Add({}))
        , coordinator(
              family(prometheus::BuildGauge(), "marigold_is_coordinator", "1 while this instance is the coordinator.")
                  .Add({}))
        , reservations(
              family(prometheus::BuildGauge(), "marigold_reservations", "Steps with a reservation of room on workers.")
                  .Add({}))
        , heldBack(family(prometheus::BuildCounter(), "marigold_reservation_held_back_total",
              "Steps that reservations held back, counted in each placement pass.")
                       .Add({}))
        , reservationEnds(family(
              prometheus::BuildCounter(), "marigold_reservations_ended_total", "Reservations that ended, by how."))
        , reservationTimes(family(prometheus::BuildHistogram(), "marigold_reservation_seconds",
              "Time from a reservation to the start of the step's last reserved task.")
                               .Add({}, s_seconds))
        , unlogged(family(prometheus::BuildCounter(), "marigold_unlogged_decisions_total",
              "Decisions that the limits of the log left out, by subject."))
        , limits(family(prometheus::BuildCounter(), "marigold_limits_reached_total",
              "Requests and connections that were ended or refused because a limit for clients was reached, by limit."))
    {
    }

    std::string teamLabel(const TeamId& team)
    {
        if (team.empty())
            return "none";
        if (!knownTeams.contains(team) && knownTeams.size() >= s_maxTeamLabels)
            return "other";
        knownTeams.insert(team);
        return team.value();
    }

    void record(const JobStarted& job)
    {
        waits.Add({ { "team", teamLabel(job.team) }, { "priority", std::to_string(job.priority) } }, s_seconds)
            .Observe(seconds(job.wait));
    }

    void record(const JobEnded& job)
    {
        const auto team = teamLabel(job.team);
        jobs.Add({ { "team", team }, { "state", marigoldlink::name(job.state) } }).Increment();
        jobTimes.Add({ { "team", team }, { "priority", std::to_string(job.priority) } }, s_seconds)
            .Observe(seconds(job.time));
    }

    void record(const RunEnded& run) { runsByEnd.increment(runs, "how", run.how); }

    void record(const StartAnswered& start) { startsByAnswer.increment(starts, "answer", start.answer); }

    void record(const JournalWritten& write)
    {
        writes.Add({ { "answer", marigoldlink::name(write.answer) } }, s_storeSeconds).Observe(seconds(write.time));
    }

    void record(const PoolMeasured& pool)
    {
        const auto& id = pool.pool.value();
        instances.Add({ { "pool", id } }).Set(pool.instances);
        cores.Add({ { "pool", id }, { "of", "usable" } }).Set(pool.usableCores);
        cores.Add({ { "pool", id }, { "of", "used" } }).Set(pool.usedCores);
        cores.Add({ { "pool", id }, { "of", "asked" } }).Set(pool.requestedCores);
        leaving.Add({ { "pool", id } }).Set(pool.leavingInstances);
        knownPools.insert(pool.pool);
    }

    void record(const ContendedMove& move)
    {
        contendedMoves.Add({ { "from", move.from.value() }, { "to", move.to.value() } }).Increment();
    }

    void record(const JobsMeasured& count)
    {
        openJobs.Add({ { "of", "active" } }).Set(static_cast<double>(count.active));
        openJobs.Add({ { "of", "waiting" } }).Set(static_cast<double>(count.waiting));
    }

    void record(const SubmissionRefused& refusal)
    {
        refusals.Add({ { "pool", refusal.pool.value() }, { "reason", refusal.reason } }).Increment();
    }

    void record(const WaitMeasured& wait)
    {
        expectedWaits.Add({ { "pool", wait.pool.value() } }).Set(seconds(wait.expected));
    }

    void record(const TeamsMeasured& measured)
    {
        std::map<std::string, TeamsMeasured::Team> byLabel;
        for (const auto& label : teamsWithCores)
            byLabel[label];
        for (const auto& team : measured.teams) {
            auto& sum = byLabel[teamLabel(team.id)];
            sum.usedCores += team.usedCores;
            sum.requestedCores += team.requestedCores;
            sum.allottedCores += team.allottedCores;
        }
        for (const auto& [label, team] : byLabel) {
            teamsWithCores.insert(label);
            teamCores.Add({ { "team", label }, { "of", "used" } }).Set(team.usedCores);
            teamCores.Add({ { "team", label }, { "of", "asked" } }).Set(team.requestedCores);
            teamCores.Add({ { "team", label }, { "of", "allotted" } }).Set(team.allottedCores);
        }
    }

    void record(const ReservationsMeasured& count)
    {
        reservations.Set(static_cast<double>(count.active));
        heldBack.Increment(static_cast<double>(count.heldBack));
    }

    void record(const ReservationEnded& reservation)
    {
        endsOfReservations.increment(reservationEnds, "how", reservation.how);
        if (reservation.how == ReservationEvent::Started)
            reservationTimes.Observe(seconds(reservation.time));
    }

    void record(const CoordinatorLoad& load)
    {
        const auto add = [this](const char* part, std::chrono::microseconds time) {
            coordinatorTime.Add({ { "part", part } }).Increment(std::chrono::duration<double>(time).count());
        };
        add("cpu", load.cpu);
        add("decisions", load.decisions);
        add("sending", load.sending);
        loopIterations.Increment(static_cast<double>(load.loopIterations));
        for (const auto& [kind, count] : load.orders)
            orders.Add({ { "kind", kind } }).Increment(count);
    }
};

FleetMetrics::FleetMetrics()
    : m_impl(std::make_unique<Impl>())
{
}

FleetMetrics::~FleetMetrics() = default;

void FleetMetrics::record(const CallReport& call)
{
    m_impl->outcomes
        .Add({ { "kind", call.kind }, { "team", m_impl->teamLabel(call.team) },
            { "outcome", marigoldlink::name(call.outcome) } })
        .Increment();
    m_impl->calls.Add({ { "kind", call.kind } }, s_seconds).Observe(seconds(call.time));
}

void FleetMetrics::record(const Measurement& measurement)
{
    std::visit([this](const auto& typed) { m_impl->record(typed); }, measurement);
}

void FleetMetrics::setCoordinator(bool isCoordinator)
{
    m_impl->coordinator.Set(isCoordinator ? 1 : 0);
    if (isCoordinator)
        return;
    for (const auto& pool : m_impl->knownPools) {
        m_impl->record(PoolMeasured { pool, 0, 0, 0, 0, 0 });
        m_impl->record(WaitMeasured { pool, {} });
    }
    m_impl->record(JobsMeasured {});
    m_impl->record(TeamsMeasured {});
    m_impl->record(ReservationsMeasured {});
}

void FleetMetrics::countUnloggedDecisions(const DecisionLimiter::Counts& counts)
{
    for (const auto& [subject, count] : counts)
        m_impl->unlogged.Add({ { "subject", subject } }).Increment(count);
}

void FleetMetrics::countLimit(std::string_view name)
{
    m_impl->limits.Add({ { "limit", std::string(name) } }).Increment();
}

std::string FleetMetrics::text() const { return prometheus::TextSerializer().Serialize(m_impl->registry.Collect()); }

} // namespace marigoldlink
