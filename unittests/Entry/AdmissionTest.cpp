// Tests of admission control with a whole coordinator under load. A pool of 20 workers with 64 cores clears 15.6 short
// jobs a second: two steps of 8 tasks that run 0.8 s on 6.2 cores.
#include "LoadModel.h"

#include "../Coordination/Choices.h"

#include <gmock/gmock.h>
#include <rapidcheck/gtest.h>

namespace marigoldlink {
namespace {

    constexpr int workers = 20;
    constexpr double capacity = 15.6; // short jobs a second

    // Estimates are between half and one and a half times the run time.
    ModelStream shortJobs(const std::string& team, std::function<double(TimePoint)> rate)
    {
        ModelStream stream;
        stream.team = TeamId(team);
        stream.queue = QueueId("short");
        stream.jobsPerSecond = std::move(rate);
        return stream;
    }

    struct Burst {
        TimePoint begin;
        TimePoint end;
    };

    // Runs a calm period, a burst, and the time after it in which callers return.
    Burst runBurst(LoadModel& model, ModelStream stream, double calm, double burst, Duration length = Duration(5000))
    {
        const Burst times { model.now() + Duration(4000), model.now() + Duration(4000) + length };
        stream.jobsPerSecond = [=](TimePoint now) {
            return now < times.begin ? calm : now < times.end ? burst : calm / 20;
        };
        model.addStream(std::move(stream));
        model.run(Duration(4000) + length + Duration(16000));
        return times;
    }

    // Guards against acceptance of everything in a burst: most jobs then end too late to be of use (7 s after an
    // objective of 3 s), also many that could have ended in time.
    TEST(Admission, AQueueAtFiveTimesItsCapacityServesWhatItCanInTime)
    {
        LoadModel before({}, workers, 0);
        const auto unlimited = runBurst(before, shortJobs("a", {}), 5, 5 * capacity);
        const auto all = before.result(unlimited.begin, unlimited.end);
        SCOPED_TRACE("off: " + all.text());
        EXPECT_EQ(all.refusals, 0);
        EXPECT_GT(all.useless, all.jobs / 2) << "the load must show the fault that is guarded against";

        LoadModel model({ .admission = true }, workers, 0);
        const auto burst = runBurst(model, shortJobs("a", {}), 5, 5 * capacity);
        const auto result = model.result(burst.begin, burst.end);
        SCOPED_TRACE("on: " + result.text());
        EXPECT_GT(result.inTime, all.inTime);
        EXPECT_GT(result.inTime, static_cast<int>(capacity * 5 * 0.9));
        EXPECT_LT(result.useless, result.accepted / 4);
        EXPECT_LE(result.medianStart, Duration(1000));
    }

    // Guards against a team that sends eight times its usual load and makes the others late. Placement does not divide
    // capacity in this model, so this is the part of admission alone.
    TEST(Admission, ATeamAtEightTimesItsUsualLoadDoesNotDelayOthers)
    {
        constexpr double usual = 2;
        std::map<bool, double> inTime;
        for (const bool isOn : { false, true }) {
            LoadModel model({ .admission = isOn, .shares = isOn }, workers, 0);
            for (const auto* team : { "b", "c", "d" })
                model.addStream(shortJobs(team, [](TimePoint) { return usual; }));
            const auto burst = runBurst(model, shortJobs("a", {}), usual, 8 * usual, Duration(10000));
            ModelResult others;
            for (const auto* team : { "b", "c", "d" }) {
                const auto result = model.result(burst.begin, burst.end, TeamId(team));
                others.jobs += result.jobs;
                others.inTime += result.inTime;
            }
            inTime[isOn] = static_cast<double>(others.inTime) / others.jobs;
            if (isOn) {
                EXPECT_GT(model.result(burst.begin, burst.end, TeamId("a")).inTime, static_cast<int>(usual * 10))
                    << "it gets what the others leave";
            }
        }
        EXPECT_LT(inTime[false], 0.6) << "the load must show the fault that is guarded against";
        EXPECT_GT(inTime[true], 0.9);
    }

    // Guards against refusals on days without shortage, also while the pool grows from the spare pool.
    TEST(Admission, NothingIsRefusedUnderCalmLoad)
    {
        LoadModel steady({ .admission = true, .shares = true }, workers, 0);
        for (const auto* team : { "a", "b", "c" })
            steady.addStream(shortJobs(team, [](TimePoint) { return 0.7 * capacity / 3; }));
        steady.run(Duration(30000));
        EXPECT_EQ(steady.refusals(TimePoint(), TimePoint::max()), 0);
        LoadModel growing({ .admission = true }, workers / 2, workers);
        const auto burst = runBurst(growing, shortJobs("a", {}), 3, 0.8 * capacity);
        SCOPED_TRACE(growing.result(burst.begin, burst.end).text());
        EXPECT_EQ(growing.refusals(TimePoint(), TimePoint::max()), 0);
    }

    // Guards against a queue that is far too long or too short when all estimates are wrong by a factor of 2.
    TEST(Admission, EstimatesMayBeWrongByAFactorOfTwo)
    {
        for (const double factor : { 0.5, 2.0 }) {
            auto stream = shortJobs("a", {});
            stream.lowestEstimate = stream.highestEstimate = factor;
            LoadModel model({ .admission = true }, workers, 0);
            const auto burst = runBurst(model, stream, 5, 5 * capacity);
            const auto result = model.result(burst.begin, burst.end);
            SCOPED_TRACE("factor " + std::to_string(factor) + ": " + result.text());
            EXPECT_GT(result.inTime, static_cast<int>(capacity * 5 * 0.6));
            EXPECT_LT(result.useless, result.accepted / 4);
            LoadModel calm({ .admission = true }, workers, 0);
            stream.jobsPerSecond = [](TimePoint) { return 0.6 * capacity; };
            calm.addStream(stream);
            // The pool first shrinks to nothing, since there are no jobs, and its first jobs wait until it has grown.
            calm.run(Duration(8000));
            const auto grown = calm.now();
            calm.run(Duration(20000));
            EXPECT_EQ(calm.refusals(grown, TimePoint::max()), 0);
        }
    }

    // Returning callers after an outage of the store. Guards against acceptance of all that come back at once, whose
    // own time is over, in place of new jobs.
    TEST(Admission, CallersThatReturnAfterAnOutageDoNotMakeNewJobsLate)
    {
        LoadModel model({ .admission = true }, workers, 0);
        model.addStream(shortJobs("a", [](TimePoint) { return 0.7 * capacity; }));
        model.run(Duration(4000));
        const auto back = model.now() + Duration(5000);
        model.setStoreDownUntil(back);
        model.run(Duration(25000));
        const auto result = model.result(back + Duration(3000), back + Duration(10000));
        SCOPED_TRACE(result.text());
        EXPECT_GT(result.inTime, result.jobs * 8 / 10);
        EXPECT_LE(model.refusals(back + Duration(10000), TimePoint::max()), 2)
            << "the refusals caused by the outage must end";
    }

    // Guards against refusals by a new coordinator that does not know its fleet yet, and against one that forgets the
    // work of its predecessor and accepts a second backlog.
    TEST(Admission, ANewCoordinatorRefusesOnlyOnceItKnowsItsFleetAndThenCountsRestoredJobs)
    {
        LoadModel model({ .admission = true }, workers, 0);
        model.addStream(shortJobs("a", [](TimePoint) { return 5 * capacity; }));
        model.run(Duration(6000));
        const auto since = model.now();
        EXPECT_GT(model.refusals(since - Duration(1000), since), 0);
        model.takeOver();
        model.run(Duration(1000));
        EXPECT_EQ(model.refusals(since, model.now()), 0);
        model.run(Duration(3000));
        EXPECT_GT(model.refusals(since + Duration(1000), model.now()), static_cast<int>(capacity * 5));
    }

    // Guards against refusals while the first tasks of a job would find room, at any load and size of tasks.
    RC_GTEST_PROP(Admission, RefusesNothingWhileThePoolHasRoom, ())
    {
        auto choices = testing::Choices::generate(30);
        const auto next = [&](int least, int most) {
            return least + static_cast<int>(choices.below(std::size_t(most) + 1 - std::size_t(least)));
        };
        LoadModel model({ .admission = true, .shares = next(0, 1) == 1 }, next(2, 8), next(0, 4));
        for (int i = next(1, 3); i > 0; --i) {
            auto stream = shortJobs("team-" + std::to_string(i), {});
            stream.tasks = next(1, 16);
            stream.milliCores = next(1500, 13000);
            stream.runTime = Duration(next(100, 1000));
            stream.jobsPerSecond = [rate = next(1, 30)](TimePoint) { return rate; };
            model.addStream(stream);
        }
        model.run(Duration(4000));
        RC_ASSERT(model.refusedWithRoom() == 0);
    }

    // Guards against "never runs" from a coordinator that may have a successor, which may have accepted an earlier
    // copy; and against refusals of a job that is known.
    TEST(Admission, RefusesOnlyUnknownJobsAndOnlyWithAValidLease)
    {
        LoadModel model({ .admission = true }, workers, 0);
        model.addStream(shortJobs("a", [](TimePoint) { return 5 * capacity; }));
        model.run(Duration(6000));
        auto& coordinator = model.coordinator();
        auto spec = model.jobs().begin()->second.spec;
        const auto answer = [&](std::uint64_t token) {
            coordinator.submit(CallToken(token), spec, model.now(), Duration(2900));
            const auto orders = coordinator.takeOrders();
            return orders.empty() ? std::nullopt : std::optional(std::get<ReplyOrder>(orders.at(0)).reply.kind);
        };
        EXPECT_EQ(answer(1000001), Reply::Kind::Accepted) << "it is known";
        spec.id = JobId("new");
        EXPECT_EQ(answer(1000002), Reply::Kind::Refused);
        coordinator.setLeaseValidUntil(model.now() - Duration(1));
        EXPECT_EQ(answer(1000003), std::nullopt) << "it waits for the store";
    }

    // Guards against refusals that operators cannot explain.
    TEST(Admission, EachRefusalIsLoggedWithItsEstimateAndCounted)
    {
        LoadModel model({ .admission = true }, workers, 0);
        runBurst(model, shortJobs("a", {}), 5, 5 * capacity);
        int counted = 0;
        for (const auto& [reason, count] : model.refusalReasons())
            counted += count;
        EXPECT_GT(model.refusalReasons().at("pool_backlog"), 0);
        EXPECT_GT(model.refusalReasons().at("caller_late"), 0);
        EXPECT_EQ(counted, model.refusals(TimePoint(), TimePoint::max()));
        ASSERT_EQ(static_cast<int>(model.refusalLog().size()), counted);
        for (const auto& decision : model.refusalLog())
            EXPECT_THAT(decision.text,
                ::testing::AllOf(::testing::HasSubstr("would wait"), ::testing::HasSubstr("core seconds ahead"),
                    ::testing::HasSubstr("return in")));
    }

} // namespace
} // namespace marigoldlink
