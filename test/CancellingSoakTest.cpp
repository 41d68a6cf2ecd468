// Soak of submissions and cancellings while processes freeze, end, start again and lose their way to the store.
//
// MARIGOLD_SOAK_SEEDS=first:count runs other seeds than the fixed one.
#include "NodeCluster.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <iostream>
#include <mutex>
#include <stop_token>
#include <thread>

namespace marigoldlink::testing {

namespace {

    constexpr std::size_t s_nodes = 5;
    constexpr std::size_t s_workersPerZone = 2;
    constexpr std::size_t s_clients = 6;
    constexpr Milliseconds s_faultTime { 22000 };
    constexpr Milliseconds s_poll { 20 };
    // Half of the jobs have a long first step, so that the second one starts late if the job was accepted late.
    constexpr Milliseconds s_shortestLongStep { 3500 };
    constexpr Milliseconds s_longestFirstStep { 6000 };
    constexpr Milliseconds s_shortestStep { 300 };
    constexpr Milliseconds s_longestShortStep { 1500 };
    constexpr Milliseconds s_secondStep { 500 };
    // A machine is in touch when it has not been disrupted for this time (stable_ms).
    constexpr Milliseconds s_stable { 3000 };
    // An order of a former coordinator may arrive until its workers' leases have ended (hold_max_ms).
    constexpr Milliseconds s_formerCoordinator { 6000 };
    // Time from the end of the faults until accepted jobs are complete (finish_s), and for their own work.
    constexpr Milliseconds s_finish { 14000 };

    using marigoldlink::testing::draw;

    Milliseconds draw(std::mt19937& generator, Milliseconds least, Milliseconds most)
    {
        return Milliseconds(draw(generator, static_cast<int>(least.count()), static_cast<int>(most.count())));
    }

    // What the clients know about one job. Written by one client, and read when all of them have ended.
    struct JobRecord {
        std::string id;
        Milliseconds firstStep { 0 };
        std::size_t submissions { 0 };
        std::size_t rejections { 0 };
        bool isAccepted { false };
        bool isCancelled { false }; // a cancelling was sent
        std::optional<Milliseconds> cancelAcknowledgedAt;
    };

    struct Disruption {
        NodeIndex node;
        Milliseconds begin;
        Milliseconds end;
    };

    class Soak {
    public:
        explicit Soak(Seed seed)
            : m_seed(seed)
            , m_cluster(s_nodes, s_workersPerZone)
            , m_records(s_clients)
            , m_openFaults(s_nodes)
        {
        }

        void run()
        {
            m_cluster.awaitCoordinator();
            // Ends with the checks, in which the coordinator may still change.
            const std::jthread watcher([this](const std::stop_token& stop) { watchCoordinator(stop); });
            {
                std::vector<std::jthread> clients;
                for (std::size_t client = 0; client < s_clients; ++client)
                    clients.emplace_back([this, client](const std::stop_token& stop) { runClient(client, stop); });
                // Processes that are started here end with this thread.
                disrupt();
                for (auto& client : clients)
                    client.request_stop();
            }
            awaitCompletion();
            check();
        }

    private:
        struct Coordination {
            Milliseconds since;
            NodeIndex node;
        };
        enum class Fault {
            Freeze,
            Kill,
            StoreCut,
        };
        struct OpenFault {
            Fault fault;
            Milliseconds endsAt;
            std::size_t disruption; // in m_disruptions
        };

        NodeIndex randomNode(std::mt19937& generator) const
        {
            return NodeIndex(static_cast<std::size_t>(draw(generator, 0, s_nodes - 1)));
        }

        static std::string pathOf(const JobRecord& job) { return "/q/" + job.id; }

        CallerResponse call(
            NodeIndex node, const std::string& method, const JobRecord& job, const std::string& body = "")
        {
            Caller caller(m_cluster.node(node), "key-1");
            return caller.call(method, pathOf(job), body);
        }

        void note(JobRecord& job, const CallerResponse& response)
        {
            job.rejections += response.isRejection();
            job.isAccepted |= response.status >= 200 && response.status < 300;
        }

        void submit(JobRecord& job, NodeIndex node)
        {
            ++job.submissions;
            note(job, call(node, "POST", job, twoStepJob(job.firstStep, s_secondStep)));
        }

        void cancel(JobRecord& job, NodeIndex node)
        {
            job.isCancelled = true;
            if (call(node, "DELETE", job).isCancelAcknowledged() && !job.cancelAcknowledgedAt)
                job.cancelAcknowledgedAt = NodeCluster::now();
        }

        // Closes the connection early, and cancels the job elsewhere.
        void submitWithoutPatience(JobRecord& job, std::mt19937& generator)
        {
            ++job.submissions;
            Caller caller(m_cluster.node(randomNode(generator)), "key-1");
            caller.send("POST", pathOf(job), twoStepJob(job.firstStep, s_secondStep));
            const auto response = caller.receive(Milliseconds(draw(generator, 1, 800)));
            note(job, response);
            caller.close();
            cancel(job, randomNode(generator));
        }

        void submitTwice(JobRecord& job, std::mt19937& generator)
        {
            job.submissions += 2;
            Caller first(m_cluster.node(randomNode(generator)), "key-1");
            Caller second(m_cluster.node(randomNode(generator)), "key-1");
            const auto body = twoStepJob(job.firstStep, s_secondStep);
            first.send("POST", pathOf(job), body);
            second.send("POST", pathOf(job), body);
            if (draw(generator, 0, 1))
                cancel(job, randomNode(generator));
            note(job, first.receive(Milliseconds(1500)));
            note(job, second.receive(Milliseconds(1500)));
        }

        void runClient(std::size_t client, const std::stop_token& stop)
        {
            std::mt19937 generator(m_seed.value * 1000 + static_cast<std::uint32_t>(client));
            for (int number = 0; !stop.stop_requested(); ++number) {
                char id[17];
                std::snprintf(id, sizeof(id), "%08zx%08x", client + 1, static_cast<unsigned>(number));
                auto& job = m_records[client].emplace_back();
                job.id = id;
                job.firstStep = draw(generator, 0, 1) ? draw(generator, s_shortestLongStep, s_longestFirstStep)
                                                      : draw(generator, s_shortestStep, s_longestShortStep);
                switch (draw(generator, 0, 5)) {
                case 0: // stays
                    submit(job, randomNode(generator));
                    break;
                case 1: // prompt cancel
                    submit(job, randomNode(generator));
                    cancel(job, randomNode(generator));
                    break;
                case 2:
                case 3:
                    submitWithoutPatience(job, generator);
                    break;
                case 4:
                    submitTwice(job, generator);
                    break;
                case 5: // never submitted
                    cancel(job, randomNode(generator));
                    break;
                }
                if (draw(generator, 0, 1)) {
                    const auto response = call(randomNode(generator), "GET", job);
                    EXPECT_TRUE(job.submissions || response.status != 200)
                        << job.id << " was never submitted: " << response.body;
                }
                standin::sleepMs(draw(generator, 20, 150));
            }
        }

        void watchCoordinator(const std::stop_token& stop)
        {
            while (!stop.stop_requested()) {
                const auto writer = m_cluster.world().store.lastWriter();
                const std::lock_guard guard(m_coordinationsLock);
                if (writer && (m_coordinations.empty() || m_coordinations.back().node != NodeIndex(*writer))) {
                    m_coordinations.push_back({ NodeCluster::now(), NodeIndex(*writer) });
                    standin::record.line("coordinator: %s", m_cluster.node(NodeIndex(*writer)).name.c_str());
                }
                standin::sleepMs(s_poll.count());
            }
        }

        void begin(Fault fault, NodeIndex node)
        {
            const auto index = static_cast<std::size_t>(node);
            if (fault == Fault::Freeze)
                m_cluster.freeze(node);
            else if (fault == Fault::Kill)
                m_cluster.kill(node);
            else
                m_cluster.world().store.setCut(index, true);
        }

        void end(Fault fault, NodeIndex node)
        {
            const auto index = static_cast<std::size_t>(node);
            if (fault == Fault::Freeze)
                m_cluster.thaw(node);
            else if (fault == Fault::Kill)
                m_cluster.restart(node);
            else
                m_cluster.world().store.setCut(index, false);
        }

        void endDue(Milliseconds time)
        {
            for (std::size_t index = 0; index < s_nodes; ++index) {
                auto& open = m_openFaults[index];
                if (!open || open->endsAt > time)
                    continue;
                end(open->fault, NodeIndex(index));
                m_disruptions[open->disruption].end = NodeCluster::now();
                open.reset();
            }
        }

        // Series of overlapping faults, at most two processes at a time.
        void disrupt()
        {
            std::mt19937 generator(m_seed.value);
            const auto until = NodeCluster::now() + s_faultTime;
            auto next = NodeCluster::now() + Milliseconds(1000);
            while (NodeCluster::now() < until) {
                const auto now = NodeCluster::now();
                endDue(now);
                const auto open = std::count_if(
                    m_openFaults.begin(), m_openFaults.end(), [](const auto& fault) { return fault.has_value(); });
                if (now >= next && open < 2) {
                    const auto writer = m_cluster.world().store.lastWriter();
                    const auto node = writer && draw(generator, 0, 2) == 0 ? NodeIndex(*writer) : randomNode(generator);
                    const auto fault = std::array { Fault::Freeze, Fault::Freeze, Fault::Kill, Fault::StoreCut }.at(
                        static_cast<std::size_t>(draw(generator, 0, 3)));
                    const Milliseconds length(draw(generator, 500, 2000));
                    auto& slot = m_openFaults[static_cast<std::size_t>(node)];
                    if (!slot) {
                        begin(fault, node);
                        slot = OpenFault { fault, now + length, m_disruptions.size() };
                        m_disruptions.push_back({ node, now, Milliseconds::max() });
                    }
                    next = now + Milliseconds(draw(generator, 200, 1800));
                }
                standin::sleepMs(s_poll.count());
            }
            endDue(Milliseconds::max());
            m_calmSince = NodeCluster::now();
        }

        bool isInTouch(NodeIndex node, Milliseconds time) const
        {
            return std::none_of(m_disruptions.begin(), m_disruptions.end(), [&](const Disruption& disruption) {
                return disruption.node == node && disruption.begin <= time
                    && (disruption.end == Milliseconds::max() || disruption.end + s_stable > time);
            });
        }

        // Whether each process that may have ordered a start at this time was in touch.
        bool areCoordinatorsInTouch(Milliseconds time) const
        {
            for (std::size_t i = 0; i < m_coordinations.size(); ++i) {
                const auto& coordination = m_coordinations[i];
                const bool isFormer
                    = i + 1 < m_coordinations.size() && m_coordinations[i + 1].since + s_formerCoordinator < time;
                if (coordination.since <= time && !isFormer && !isInTouch(coordination.node, time))
                    return false;
            }
            return true;
        }

        void check()
        {
            std::size_t jobs = 0;
            std::size_t cancelled = 0;
            std::size_t rejected = 0;
            const std::lock_guard guard(m_coordinationsLock);
            for (const auto& records : m_records) {
                for (const auto& job : records) {
                    checkStarts(job);
                    ++jobs;
                    cancelled += job.cancelAcknowledgedAt.has_value();
                    rejected += job.submissions && job.submissions == job.rejections;
                }
            }
            EXPECT_GT(cancelled, 0U);
            EXPECT_GT(m_coordinations.size(), 1U) << "no election";
            std::cout << "seed " << m_seed.value << ": " << jobs << " jobs, " << cancelled
                      << " with an acknowledged cancelling, " << rejected << " rejected, " << m_disruptions.size()
                      << " disruptions, " << m_coordinations.size() << " coordinators\n";
        }

        void checkStarts(const JobRecord& job) const
        {
            const auto runs = m_cluster.runs(job.id);
            bool holds = job.submissions != job.rejections || runs.empty();
            EXPECT_TRUE(holds) << job.id << " starts, and each attempt was rejected";
            for (const auto& run : runs) {
                if (!job.cancelAcknowledgedAt)
                    break;
                const auto acknowledgedAt = *job.cancelAcknowledgedAt;
                const Milliseconds start(run.startedAt);
                const bool isLate = start > acknowledgedAt + s_cancelBound && areCoordinatorsInTouch(start);
                EXPECT_FALSE(isLate) << run.task << " starts at " << start.count()
                                     << ", its cancelling was acknowledged at " << acknowledgedAt.count();
                const Milliseconds end(run.endedAt.value_or(standin::record.now()));
                const bool isOver
                    = end <= std::max(m_calmSince + s_stable, acknowledgedAt) + s_cancelBound + s_stopBound;
                EXPECT_TRUE(isOver) << run.task << " runs until " << end.count() << " after its cancelling";
                holds &= !isLate && isOver;
            }
            if (!holds)
                std::cout << m_cluster.recordOf(job.id);
        }

        // Reads each job that was accepted and not cancelled until it is complete.
        void awaitCompletion()
        {
            const auto until = m_calmSince + s_finish + s_longestFirstStep + s_secondStep;
            std::size_t completed = 0;
            for (const auto& records : m_records) {
                for (const auto& job : records) {
                    if (!job.isAccepted || job.isCancelled)
                        continue;
                    CallerResponse response;
                    while (true) {
                        response = call(NodeIndex(completed % s_nodes), "GET", job);
                        if (shownState(response) == "complete" || NodeCluster::now() >= until)
                            break;
                        standin::sleepMs(s_poll.count());
                    }
                    EXPECT_EQ(shownState(response).value_or("none"), "complete")
                        << job.id << ": " << response.status << ' ' << response.body;
                    ++completed;
                }
            }
            EXPECT_GT(completed, 0U);
            // Late starts and late ends of cancelled jobs.
            standin::sleepMs((m_calmSince + s_stable + s_cancelBound + s_stopBound - NodeCluster::now()).count());
        }

        Seed m_seed;
        NodeCluster m_cluster;
        std::vector<std::vector<JobRecord>> m_records; // by client
        std::vector<std::optional<OpenFault>> m_openFaults; // by process
        std::vector<Disruption> m_disruptions;
        std::mutex m_coordinationsLock;
        std::vector<Coordination> m_coordinations; // in order of time
        Milliseconds m_calmSince { 0 };
    };

} // namespace

// Fails if a cancelled, rejected or unknown job starts or is shown, or an accepted one does not end, beside faults.
TEST(CancellingSoak, FaultsOverlap) { runSoaks<Soak>({ 6 }); }

} // namespace marigoldlink::testing
