// Guards reservations against tasks that take the reserved room, and others against reservations that hold too much.
#include "marigoldlink/Scheduling/Reservations.h"

#include <gtest/gtest.h>

namespace marigoldlink {

namespace {

    const ServiceId s_pool("gates");
    const TimePoint s_now { Duration(100000) };

    TimePoint in(int milliseconds) { return s_now + Duration(milliseconds); }

    class ReservationsTest : public testing::Test {
    protected:
        // A worker with 8 cores, of which the runs use what they reserve.
        WorkerOutlook& add(const std::string& id, const std::string& rack, std::vector<RunOutlook> runs)
        {
            auto& entry = entries.emplace_back(std::make_unique<WorkerEntry>());
            entry->incarnation.id = WorkerId(id);
            entry->rack = RackId(rack);
            entry->capacity = { 8000, 1000, 0 };
            auto free = entry->capacity;
            for (const auto& run : runs)
                free -= run.reserved;
            workers.push_back({ entry.get(), free, std::move(runs) });
            return workers.back();
        }

        static RunOutlook run(std::int64_t milliCores, int expected, int upper)
        {
            return { { milliCores, 0, 0 }, s_now - Duration(10), in(expected), in(upper) };
        }

        static UnplacedStep step(const std::string& id, std::int64_t milliCores, int tasks = 1)
        {
            UnplacedStep step;
            step.claimant.step = { JobId(id), 0, 0 };
            step.need = { milliCores, 0, 0 };
            step.tasks = tasks;
            return step;
        }

        static Claimant small(const std::string& id = "small") { return step(id, 1000).claimant; }

        ReservedWorker reservedWorker(std::size_t index, TimePoint now = s_now) const
        {
            const auto& worker = workers[index];
            return { reservations.holdsOn(s_pool, worker.entry->incarnation.id), worker, now };
        }

        template <typename IsUsable> std::vector<ReservationChange> refresh(TimePoint now, IsUsable isUsable)
        {
            return reservations.refresh(s_pool, now, isUsable, [this](const StepKey& key) {
                return Reservations::StepStatus { waiting[key.job.value()], step(key.job.value(), 0).claimant };
            });
        }

        std::vector<std::unique_ptr<WorkerEntry>> entries;
        std::vector<WorkerOutlook> workers;
        Reservations reservations;
        std::map<std::string, int> waiting;
    };

    constexpr auto isAlwaysUsable = [](const WorkerId&) { return true; };

} // namespace

// The load: a stream of small tasks that fill each gap beside a large one. Fails if a small task may start that is
// still there when the large one is due, or if one is held back although it ends before or fits beside.
TEST_F(ReservationsTest, SmallTasksStartOnlyIfTheyEndBeforeTheLargeOneOrFitBesideIt)
{
    add("w1", "r1", { run(4000, 500, 700), run(3000, 300, 400) }); // 1 core is free
    add("w2", "r1", { run(8000, 900, 1200) });
    reservations.reserve(s_pool, { step("large", 6500) }, workers, s_now);
    ASSERT_EQ(reservations.ofPool(s_pool).size(), 1u);
    const auto& reservation = reservations.ofPool(s_pool)[0];
    ASSERT_EQ(reservation.places.size(), 1u);
    EXPECT_EQ(reservation.places[0].worker, WorkerId("w1"));
    EXPECT_EQ(reservation.at(), in(500));
    EXPECT_EQ(
        reservation.until, in(800)); // the upper end of the last run that it waits for, and the time to learn of it
    auto worker = reservedWorker(0);
    EXPECT_TRUE(worker.mayStart(small(), { 1000, 0, 0 }, in(500)));
    EXPECT_TRUE(worker.mayStart(small(), { 1000, 0, 0 }, in(5000))); // 1.5 cores are left beside
    worker.start(small(), { 1000, 0, 0 }, in(5000));
    EXPECT_FALSE(worker.mayStart(small("other"), { 1000, 0, 0 }, in(501))); // 0.5 cores are left
    EXPECT_TRUE(worker.mayStart(step("large", 6500).claimant, { 6500, 0, 0 }, in(9000)));
}

// Fails if the room that a backfilled task takes beyond the reserved time is given away twice, because it might end
// before.
TEST_F(ReservationsTest, ABackfilledTaskCountsByItsUpperEstimate)
{
    add("w1", "r1", { run(4000, 500, 700), run(3000, 300, 400) });
    reservations.reserve(s_pool, { step("large", 6500) }, workers, s_now);
    workers[0].runs.push_back({ { 1000, 0, 0 }, in(10), in(400), in(600) });
    workers[0].free.milliCores -= 1000;
    EXPECT_FALSE(reservedWorker(0, in(20)).mayStart(small(), { 1000, 0, 0 }, in(5000)));
    workers[0].runs.back().upperEnd = in(450);
    EXPECT_TRUE(reservedWorker(0, in(20)).mayStart(small(), { 1000, 0, 0 }, in(5000)));
}

// Fails if a gang is reserved across racks although a rack can hold it, or if the room that is free on one of its
// workers is taken while it waits for the others.
TEST_F(ReservationsTest, AGangIsReservedInOneRackWithAllItsMembersAtOneTime)
{
    add("w1", "r1", { run(8000, 100, 150) });
    add("w2", "r2", { run(8000, 200, 250) });
    add("w3", "r2", { run(8000, 400, 600) });
    auto gang = step("gang", 5000, 2);
    gang.isGang = true;
    gang.wantsOneRack = true;
    reservations.reserve(s_pool, { gang }, workers, s_now);
    ASSERT_EQ(reservations.ofPool(s_pool).size(), 1u);
    const auto& places = reservations.ofPool(s_pool)[0].places;
    ASSERT_EQ(places.size(), 2u);
    EXPECT_EQ(places[0].worker, WorkerId("w2"));
    EXPECT_EQ(places[1].worker, WorkerId("w3"));
    EXPECT_EQ(places[0].at, in(400));
    workers[1].runs.clear();
    workers[1].free = workers[1].entry->capacity;
    EXPECT_TRUE(reservedWorker(1, in(200)).mayStart(small(), { 8000, 0, 0 }, in(400)));
    EXPECT_FALSE(reservedWorker(1, in(200)).mayStart(small(), { 8000, 0, 0 }, in(401)));
    EXPECT_TRUE(reservedWorker(0).mayStart(small(), { 8000, 0, 0 }, in(401))) << "w1 is not reserved";
}

// Fails if a reservation ignores the label, the limit per worker, or the capacity of a worker, or waits for a run that
// has no end.
TEST_F(ReservationsTest, PlacesHonourLabelsLimitsAndRunsWithoutAnEnd)
{
    add("w1", "r1", { run(8000, 100, 150) });
    add("w2", "r1", { run(8000, 900, 1200) });
    add("w3", "r1", { { { 8000, 0, 0 }, s_now, TimePoint::max(), TimePoint::max() } });
    entries[1]->labels.insert("fast");
    entries[2]->labels.insert("fast");
    auto labelled = step("labelled", 4000, 3);
    labelled.requiredLabel = "fast";
    labelled.maxPerWorker = 2;
    labelled.tasksByWorker[WorkerId("w2")] = 1;
    reservations.reserve(s_pool, { labelled, step("huge", 9000) }, workers, s_now);
    ASSERT_EQ(reservations.ofPool(s_pool).size(), 1u);
    ASSERT_EQ(reservations.ofPool(s_pool)[0].places.size(), 1u);
    EXPECT_EQ(reservations.ofPool(s_pool)[0].places[0].worker, WorkerId("w2"));
}

// Fails if the number of reservations grows with the queue, or if the most urgent steps are not the ones that get them.
TEST_F(ReservationsTest, TheMostUrgentStepsGetABoundedNumberOfReservations)
{
    for (int i = 0; i < 10; ++i)
        add("w" + std::to_string(i), "r1", { run(8000, 100 + i, 200) });
    std::vector<UnplacedStep> steps;
    for (int i = 0; i < 20; ++i) {
        steps.push_back(step("job" + std::to_string(i), 5000));
        steps.back().claimant.slack = Duration(1000 - i);
    }
    reservations.reserve(s_pool, steps, workers, s_now);
    EXPECT_EQ(reservations.count(), Reservations::maxPerPool);
    EXPECT_TRUE(reservations.isReserved(s_pool, { JobId("job19"), 0, 0 }));
    auto urgent = step("urgent", 5000);
    urgent.claimant.priority = -1;
    const auto changes = reservations.reserve(s_pool, { urgent }, workers, s_now);
    ASSERT_EQ(changes.size(), 2u);
    EXPECT_EQ(changes[0].event, ReservationEvent::Displaced);
    EXPECT_EQ(changes[0].reservation.claimant.step.job, JobId("job16"));
    EXPECT_EQ(reservations.count(), Reservations::maxPerPool);
}

// Fails if a worker is kept empty for a step whose time has passed by more than the spread, or again right after.
TEST_F(ReservationsTest, AReservationLapsesAndTheStepWaitsAsLongAsItHeldTheRoom)
{
    add("w1", "r1", { run(8000, 500, 700) });
    reservations.reserve(s_pool, { step("large", 8000) }, workers, s_now);
    waiting["large"] = 1;
    EXPECT_TRUE(refresh(in(500), isAlwaysUsable).empty());
    EXPECT_EQ(refresh(in(501), isAlwaysUsable).at(0).event, ReservationEvent::Kept);
    EXPECT_TRUE(refresh(in(799), isAlwaysUsable).empty());
    EXPECT_FALSE(reservedWorker(0, in(799)).mayStart(small(), { 1000, 0, 0 }, in(900)));
    const auto changes = refresh(in(800), isAlwaysUsable);
    ASSERT_EQ(changes.size(), 1u);
    EXPECT_EQ(changes[0].event, ReservationEvent::Lapsed);
    EXPECT_TRUE(reservedWorker(0, in(800)).mayStart(small(), { 1000, 0, 0 }, in(900)));
    reservations.reserve(s_pool, { step("large", 8000) }, workers, in(1599));
    EXPECT_EQ(reservations.count(), 0u);
    reservations.reserve(s_pool, { step("large", 8000) }, workers, in(1600));
    EXPECT_EQ(reservations.count(), 1u);
}

// Fails if room is held on the other workers of a gang that lost one, or for a step that no longer waits.
TEST_F(ReservationsTest, EndsWithItsWorkerOrItsStep)
{
    add("w1", "r1", { run(8000, 100, 150) });
    add("w2", "r1", { run(8000, 100, 150) });
    auto gang = step("gang", 5000, 2);
    gang.isGang = true;
    reservations.reserve(s_pool, { gang }, workers, s_now);
    waiting["gang"] = 2;
    const auto changes = refresh(s_now, [](const WorkerId& id) { return id != WorkerId("w2"); });
    ASSERT_EQ(changes.size(), 1u);
    EXPECT_EQ(changes[0].event, ReservationEvent::WorkerGone);
    EXPECT_EQ(reservations.count(), 0u);
    reservations.reserve(s_pool, { step("wide", 5000, 2) }, workers, s_now);
    waiting["wide"] = 2;
    EXPECT_TRUE(refresh(s_now, [](const WorkerId& id) { return id != WorkerId("w2"); }).empty());
    ASSERT_EQ(reservations.ofPool(s_pool).size(), 1u);
    EXPECT_EQ(reservations.ofPool(s_pool)[0].places.size(), 1u) << "the other task keeps its place";
    waiting["wide"] = 0;
    EXPECT_EQ(refresh(s_now, isAlwaysUsable).at(0).event, ReservationEvent::NotWaiting);
}

// Fails if a step of lower priority, or one that is of no use any more, holds room against a step before it.
TEST_F(ReservationsTest, HoldsNothingAgainstHigherPriorityOrForAStepBeyondUse)
{
    auto reserved = small("reserved");
    auto other = small();
    EXPECT_FALSE(other.overrides(reserved));
    reserved.isBeyondUse = true;
    EXPECT_TRUE(other.overrides(reserved));
    other.isLate = true;
    EXPECT_FALSE(other.overrides(reserved)) << "a step beyond use still has to run before late ones without end";
    reserved = small("reserved");
    reserved.priority = 1;
    EXPECT_TRUE(other.overrides(reserved));
    EXPECT_FALSE(reserved.overrides(other));
}

} // namespace marigoldlink
