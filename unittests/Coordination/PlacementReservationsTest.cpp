// Placement with reservations in virtual time, under loads in which small tasks fill each gap beside large ones.
#include "Choices.h"
#include "ReservationModel.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <numeric>
#include <random>

namespace marigoldlink::testing {

namespace {

    struct Waits {
        double large { 0 };
        double largest { 0 };
        double small { 0 };
        double use { 0 };
        int largeStarted { 0 };
    };

    // A stream of small tasks that use about 90% of four workers, and a few large ones that need most of a worker. Run
    // times have a heavy tail, and estimates are wrong by up to half.
    Waits playStream(bool hasReservations, unsigned seed)
    {
        constexpr int seconds = 40;
        ReservationModel model(hasReservations);
        const auto begin = model.now;
        model.queue.objectiveFactor = 1.6;
        model.queue.objectiveAllowance = Duration(600);
        for (int i = 0; i < 4; ++i)
            model.addWorker("w" + std::to_string(i), "r1", 64000);
        std::mt19937 random(seed);
        std::uniform_real_distribution<double> error(0.5, 1.5);
        // The run time of a task does not depend on the order of starts, so that both ways have the same work.
        model.runTime = [&](const TaskKey& key, const StepSpec& step) {
            const auto mean = step.need.milliCores > 10000 ? 1700.0 : 800.0;
            std::mt19937 own(static_cast<unsigned>(std::hash<std::string> {}(key.text())) ^ seed);
            std::lognormal_distribution<double> tail(-0.3, 0.8);
            return Duration(static_cast<std::int64_t>(mean * tail(own)));
        };
        const auto estimate = [&](double mean) { return static_cast<int>(mean * error(random)); };
        std::exponential_distribution<double> gap(1 / 25.0); // 40 a second of 6.2 cores for 0.8 s: 198 of 256 cores
        double at = 0;
        std::vector<std::string> small;
        while (at < seconds * 1000) {
            small.push_back("small" + std::to_string(small.size()));
            model.submitAt(begin + Duration(static_cast<std::int64_t>(at)), small.back(),
                { ReservationModel::step(1, 6200, estimate(800)) });
            at += gap(random);
        }
        std::vector<std::string> large;
        for (int i = 0; i < seconds / 4; ++i) {
            large.push_back("large" + std::to_string(i));
            model.submitAt(
                begin + Duration(2000 + 4000 * i), large.back(), { ReservationModel::step(1, 40000, estimate(1700)) });
        }
        model.run(begin + Duration(seconds * 1000));
        Waits waits;
        for (const auto& id : large) {
            const auto wait = static_cast<double>(
                (model.hasStarted(id) ? model.wait(id) : model.now - model.submitted.at(JobId(id))).count());
            waits.large += wait / static_cast<double>(large.size());
            waits.largest = std::max(waits.largest, wait);
            waits.largeStarted += model.hasStarted(id);
        }
        int started = 0;
        for (const auto& id : small) {
            waits.small += model.hasStarted(id) ? static_cast<double>(model.wait(id).count()) : 0;
            started += model.hasStarted(id);
        }
        waits.small /= started;
        waits.use = model.usedCoreMs / (seconds * 1000.0) / 256;
        return waits;
    }

} // namespace

// Fails if large tasks wait for a chance gap as without reservations, or if the room held for them costs the pool a
// noticeable part of its use or makes small tasks wait long.
TEST(PlacementReservations, LargeTasksWaitLessBesideAStreamOfSmallOnes)
{
    double useBefore = 0;
    double useAfter = 0;
    for (unsigned seed = 1; seed <= 5; ++seed) {
        const auto before = playStream(false, seed);
        const auto after = playStream(true, seed);
        for (const auto& waits : { before, after })
            std::printf("seed %u: large mean %.0f ms, most %.0f ms, started %d, small mean %.0f ms, use %.3f\n", seed,
                waits.large, waits.largest, waits.largeStarted, waits.small, waits.use);
        EXPECT_LT(after.large, 0.7 * before.large);
        EXPECT_LT(after.largest, 0.5 * before.largest);
        EXPECT_LT(after.small, 200);
        useBefore += before.use / 5;
        useAfter += after.use / 5;
    }
    EXPECT_GT(useAfter, useBefore - 0.02);
}

namespace {

    StepSpec randomStep(Choices& choices)
    {
        auto step = ReservationModel::step(1 + static_cast<int>(choices.below(4)),
            500 + static_cast<std::int64_t>(choices.below(choices.below(3) ? 2500 : 7500)),
            100 + static_cast<int>(choices.below(1500)));
        step.maxPerWorker = choices.below(4) ? 0 : 1 + static_cast<int>(choices.below(2));
        step.isGang = choices.below(6) == 0;
        step.wantsOneRack = choices.below(2) == 0;
        if (choices.below(5) == 0)
            step.requiredLabel = "fast";
        return step;
    }

    // A random pool and random jobs whose run times lie within the spread of their estimates.
    void addRandomLoad(ReservationModel& model, Choices& choices)
    {
        const int workers = 2 + static_cast<int>(choices.below(5));
        for (int i = 0; i < workers; ++i)
            model.addWorker("w" + std::to_string(i), "r" + std::to_string(i / 3), 8000,
                choices.below(2) ? std::set<std::string> { "fast" } : std::set<std::string> {});
        auto at = model.now;
        for (int i = 0; !choices.isOver() && i < 60; ++i) {
            std::vector<StepSpec> steps { randomStep(choices) };
            if (choices.below(4) == 0) {
                steps.push_back(randomStep(choices));
                steps.back().after.push_back(0);
            }
            model.submitAt(at, "job" + std::to_string(i), std::move(steps));
            at += Duration(static_cast<std::int64_t>(choices.below(250)));
        }
        model.learns = false;
        model.runTime = [](const TaskKey& key, const StepSpec& step) {
            const auto hash = std::hash<std::string> {}(key.text()) % 1000;
            return Duration(1 + step.estimate.count() * 3 / 2 * static_cast<std::int64_t>(hash) / 1000);
        };
    }

    std::map<JobId, std::pair<int, TimePoint>> result(const ReservationModel& model)
    {
        std::map<JobId, std::pair<int, TimePoint>> result;
        for (const auto& [id, started] : model.lastStart)
            result[id] = { model.starts.at(id), started };
        return result;
    }

} // namespace

// Fails if a backfilled task is still there, by more than the spread of the estimates, when a reserved step is due; if
// a start breaks a rule of placement (ReservationModel checks each); or if a task, large or small, never starts.
RC_GTEST_PROP(PlacementReservations, NoReservedStepIsDelayedBeyondTheSpreadAndNothingStarves, ())
{
    auto choices = Choices::generate(100);
    ReservationModel model(true);
    addRandomLoad(model, choices);
    model.run(model.now + Duration(400000));
    int made = 0;
    for (const auto& change : model.changes) {
        made += change.event == ReservationEvent::Made;
        RC_ASSERT(change.event != ReservationEvent::Lapsed);
    }
    RC_TAG(made > 0);
    RC_ASSERT(model.running() == 0u);
    RC_ASSERT(model.reservations.count() == 0u);
    for (const auto& [id, job] : model.jobs().jobs()) {
        int possible = 0;
        for (const auto& spec : job->spec.steps)
            possible += spec.tasks;
        if (job->state == JobState::Complete)
            RC_ASSERT(model.starts.at(id) == possible);
        else
            RC_ASSERT(!model.isPossible(*job));
    }
}

// Fails if a plan without any reservation differs from the plan of a placement that knows of none, or if it costs one
// of them the rules of the other.
RC_GTEST_PROP(PlacementReservations, WithoutReservationsThePlansAreTheSame, ())
{
    auto choices = Choices::generate(100);
    auto same = choices;
    ReservationModel off(false);
    addRandomLoad(off, choices);
    off.run(off.now + Duration(400000));
    ReservationModel unused(true);
    unused.makesReservations = false;
    addRandomLoad(unused, same);
    unused.run(unused.now + Duration(400000));
    RC_ASSERT(result(off) == result(unused));
    RC_ASSERT(off.reservations.count() == 0u);
}

// The load: estimates wrong by half to both sides and a heavy tail beyond. Fails if a stream of small tasks at about
// 85% of the pool keeps a large one from its start, or large ones keep small ones from theirs.
RC_GTEST_PROP(PlacementReservations, NeitherLargeNorSmallTasksWaitWithoutBound, ())
{
    auto choices = Choices::generate(400);
    ReservationModel model(true);
    for (int i = 0; i < 3; ++i)
        model.addWorker("w" + std::to_string(i), "r1", 8000);
    const auto begin = model.now;
    std::vector<std::string> ids;
    // 17 of 24 cores for small tasks of 1 core and 500 ms, and 6 cores for half of the time for large ones.
    for (int i = 0; i < 340; ++i) {
        ids.push_back("small" + std::to_string(i));
        model.submitAt(begin + Duration(30 * i), ids.back(), { ReservationModel::step(1, 1000, 500) });
    }
    for (int i = 0; i < 10; ++i) {
        ids.push_back("large" + std::to_string(i));
        model.submitAt(begin + Duration(1000 * i), ids.back(), { ReservationModel::step(1, 6000, 500) });
    }
    model.runTime = [&choices](const TaskKey&, const StepSpec&) {
        return Duration(static_cast<std::int64_t>(250 + choices.below(500)));
    };
    model.run(begin + Duration(60000));
    for (const auto& id : ids)
        RC_ASSERT(model.wait(id) < Duration(4000));
}

// The load: gangs of four workers in one rack beside a stream of small tasks that reaches each gap first.
TEST(PlacementReservations, AGangThatNeedsARackStartsBesideAStreamOfSmallTasks)
{
    const auto wait = [](bool hasReservations) {
        ReservationModel model(hasReservations);
        for (int i = 0; i < 12; ++i)
            model.addWorker("w" + std::to_string(i), "r" + std::to_string(i / 4), 8000);
        const auto begin = model.now;
        for (int i = 0; i < 1800; ++i) // 70 of 96 cores
            model.submitAt(
                begin + Duration(10 * i), "small" + std::to_string(i), { ReservationModel::step(1, 1000, 700) });
        auto gang = ReservationModel::step(4, 6000, 500);
        gang.isGang = true;
        gang.wantsOneRack = true;
        model.submitAt(begin + Duration(2000), "gang", { gang });
        model.run(begin + Duration(18000));
        if (model.hasStarted("gang")) {
            std::set<RackId> racks;
            for (const auto& worker : model.workersOf("gang"))
                racks.insert(model.workers().find(worker)->entry.rack);
            EXPECT_EQ(racks.size(), 1u);
        }
        return model.hasStarted("gang") ? model.wait("gang") : Duration(16000);
    };
    const auto before = wait(false);
    const auto after = wait(true);
    std::printf("gang: %lld ms without reservations, %lld ms with\n", static_cast<long long>(before.count()),
        static_cast<long long>(after.count()));
    EXPECT_LT(after, Duration(1500));
    EXPECT_LT(after * 4, before);
}

// Fails if room is held on a worker where nothing may start any more, or if the step that waited for it gets no room
// elsewhere.
TEST(PlacementReservations, AStepFindsOtherRoomWhenItsWorkerDrains)
{
    ReservationModel model(true);
    const auto begin = model.now;
    model.addWorker("w0", "r0", 8000);
    model.addWorker("w1", "r0", 8000);
    model.submitAt(begin, "a", { ReservationModel::step(2, 7000, 1000) });
    model.submitAt(begin + Duration(1), "b", { ReservationModel::step(1, 1000, 1500) });
    model.submitAt(begin + Duration(100), "large", { ReservationModel::step(1, 8000, 500) });
    model.run(begin + Duration(200));
    ASSERT_EQ(model.reservations.count(), 1u);
    const auto reserved = model.reservations.ofPool(model.service)[0].places[0].worker;
    EXPECT_EQ(reserved, WorkerId("w1")) << "w0 also runs the task of 1500 ms";
    model.unusable.insert(reserved);
    model.submitAt(begin + Duration(200), "c", { ReservationModel::step(1, 1000, 100) }); // a pass
    model.run(begin + Duration(300));
    ASSERT_EQ(model.reservations.count(), 1u);
    EXPECT_EQ(model.reservations.ofPool(model.service)[0].places[0].worker, WorkerId("w0"));
    model.run(begin + Duration(5000));
    EXPECT_EQ(model.lastStart.at(JobId("large")), begin + Duration(1501));
}

} // namespace marigoldlink::testing
