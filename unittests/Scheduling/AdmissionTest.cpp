// Guards the admission of jobs by their estimated end, and the times at which refused callers return.
#include "marigoldlink/Scheduling/Admission.h"

#include "../Coordination/Choices.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldlink {

namespace {

    constexpr double cores = 1000;
    constexpr double seconds = 1000;

    // A job of a queue of short jobs: objective 1.6 x 1.3 s + 600 ms, 8 tasks of 6.2 cores.
    AdmissionRequest shortJob()
    {
        return { Duration(1300), Duration(2680), Duration(0), 63 * cores * seconds, 8 * 6.2 * cores, false };
    }

    PoolBacklog poolWith(double secondsAhead)
    {
        PoolBacklog pool;
        pool.usableMilliCores = 4000 * cores;
        pool.aheadMilliCoreMs = secondsAhead * seconds * pool.usableMilliCores;
        return pool;
    }

    WorkSum waiting(double coreSeconds, double milliCores)
    {
        WorkSum sum;
        sum.waitingWork = static_cast<std::int64_t>(coreSeconds * cores * seconds);
        sum.waitingMilliCores = static_cast<std::int64_t>(milliCores);
        return sum;
    }

} // namespace

// All queues at five times their capacity. Fails if a job is accepted that must end too late to be of use.
TEST(AdmissionTest, RefusesWhatCannotEndInTime)
{
    EXPECT_TRUE(decideAdmission(shortJob(), poolWith(1)).isAdmitted);
    const auto refused = decideAdmission(shortJob(), poolWith(5));
    EXPECT_FALSE(refused.isAdmitted);
    EXPECT_EQ(refused.expectedWait, Duration(5000));
    EXPECT_GE(refused.retryAfter, admission::minRetryAfter);
    EXPECT_EQ(refused.reason, "pool_backlog");
}

// Fails if all jobs are refused from one backlog on: with a longer objective a job still fits.
TEST(AdmissionTest, RefusesTheJobsThatFitLeastFirst)
{
    auto longJob = shortJob();
    longJob.chain = Duration(3400);
    longJob.objective = Duration(6040);
    EXPECT_FALSE(decideAdmission(shortJob(), poolWith(2)).isAdmitted);
    EXPECT_TRUE(decideAdmission(longJob, poolWith(2)).isAdmitted);
    EXPECT_FALSE(decideAdmission(longJob, poolWith(4)).isAdmitted);
}

// Fails if a burst is refused although instances that are on their way, or idle in the spare pool, clear it in time.
TEST(AdmissionTest, CountsTheCapacityThatJoins)
{
    auto pool = poolWith(3);
    EXPECT_FALSE(decideAdmission(shortJob(), pool).isAdmitted);
    pool.joiningMilliCores = 40000 * cores;
    EXPECT_TRUE(decideAdmission(shortJob(), pool).isAdmitted);
    pool.joiningMilliCores = 0;
    auto longJob = shortJob();
    longJob.objective = Duration(4000);
    EXPECT_FALSE(decideAdmission(longJob, pool).isAdmitted);
    pool.obtainableMilliCores = 40000 * cores;
    EXPECT_TRUE(decideAdmission(longJob, pool).isAdmitted);
}

// Returning callers. Fails if a job is accepted in place of a new one although its own time is over.
TEST(AdmissionTest, CountsTheTimeFromTheFirstAttempt)
{
    auto returning = shortJob();
    returning.age = Duration(1500);
    const auto decision = decideAdmission(returning, poolWith(0.1));
    EXPECT_FALSE(decision.isAdmitted);
    EXPECT_EQ(decision.reason, "caller_late");
}

// Fails if anything is refused while the pool has room for it, if a service, a job with a schedule or one that even an
// empty pool cannot run in time is refused, or if a longer queue or a shorter objective admits what was refused.
RC_GTEST_PROP(AdmissionTest, IsMonotonousAndRefusesNothingWhileThereIsRoom, ())
{
    AdmissionRequest job;
    job.chain = Duration(*rc::gen::inRange(0, 5000));
    job.objective = Duration(*rc::gen::inRange(0, 12000));
    job.age = Duration(*rc::gen::inRange(0, 8000));
    job.milliCoreMs = *rc::gen::inRange(0, 1000) * cores * seconds;
    job.firstMilliCores = *rc::gen::inRange(1, 400) * cores;
    PoolBacklog pool;
    pool.usableMilliCores = *rc::gen::inRange(0, 5000) * cores;
    pool.joiningMilliCores = *rc::gen::inRange(0, 1000) * cores;
    pool.obtainableMilliCores = *rc::gen::inRange(0, 1000) * cores;
    pool.aheadMilliCoreMs = *rc::gen::inRange(0, 50000) * cores * seconds;
    pool.share = *rc::gen::inRange(1, 11) / 10.0;
    if (decideAdmission(job, pool).isAdmitted)
        return;
    RC_ASSERT(job.chain <= job.objective);
    auto other = pool;
    other.freeMilliCores = job.firstMilliCores;
    RC_ASSERT(decideAdmission(job, other).isAdmitted == (job.age + job.chain <= 3 * job.objective));
    other = pool;
    other.aheadMilliCoreMs += *rc::gen::inRange(0, 1000) * cores * seconds;
    RC_ASSERT(!decideAdmission(job, other).isAdmitted);
    auto exempt = job;
    exempt.isExempt = true;
    RC_ASSERT(decideAdmission(exempt, pool).isAdmitted);
}

// A team at eight times its usual load beside one at its usual load. Fails if the queue of one delays the other while
// shares are on, and if with shares off the queue is not a common one.
TEST(AdmissionTest, ATeamsExcessIsNotAheadOfOthers)
{
    Backlog backlog;
    const ServiceId pool("pool");
    backlog.set(JobId("busy"), { pool, TeamId("busy"), 1, waiting(8000, 8000 * cores), TimePoint::max() });
    backlog.set(JobId("usual"), { pool, TeamId("usual"), 1, waiting(500, 500 * cores), TimePoint::max() });
    const TermsByTeam terms;
    const auto ahead = [&](const char* team, bool hasShares) {
        return queueAhead({ backlog.rows(pool), terms, 1, TeamId(team), 1000 * cores, Duration(1000), hasShares });
    };
    EXPECT_DOUBLE_EQ(ahead("usual", true).share, 0.5);
    EXPECT_DOUBLE_EQ(ahead("usual", true).milliCoreMs, 1000 * cores * seconds);
    EXPECT_DOUBLE_EQ(ahead("busy", true).share, 0.5);
    EXPECT_DOUBLE_EQ(ahead("busy", true).milliCoreMs, 16000 * cores * seconds);
    EXPECT_DOUBLE_EQ(ahead("usual", false).milliCoreMs, 8500 * cores * seconds);
}

// Fails if jobs that can no longer end in time, which placement runs last, keep others out; or if work of a higher
// priority or running work is not ahead.
TEST(AdmissionTest, LateWorkThatWaitsIsNotAhead)
{
    Backlog backlog;
    const ServiceId pool("pool");
    auto late = waiting(700, 0);
    late.runningWork = static_cast<std::int64_t>(200 * cores * seconds);
    backlog.set(JobId("late"), { pool, TeamId("a"), 1, late, TimePoint(Duration(10)) });
    backlog.set(JobId("first"), { pool, TeamId("b"), 0, waiting(50, 0), TimePoint(Duration(10)) });
    const TermsByTeam terms;
    const QueueView view { backlog.rows(pool), terms, 1, TeamId("a"), 1000 * cores, Duration(1000), false };
    EXPECT_DOUBLE_EQ(queueAhead(view).milliCoreMs, 850 * cores * seconds);
    backlog.advance(TimePoint(Duration(10)));
    EXPECT_DOUBLE_EQ(queueAhead(view).milliCoreMs, 150 * cores * seconds);
}

// Fails if a team that may not use more than its upper limit keeps the others out with work that cannot start.
TEST(AdmissionTest, ATeamAtItsUpperLimitTakesNoMoreThanThat)
{
    Backlog backlog;
    const ServiceId pool("pool");
    backlog.set(JobId("limited"), { pool, TeamId("limited"), 1, waiting(8000, 8000 * cores), TimePoint::max() });
    const TermsByTeam terms { { TeamId("limited"), { 1, 100 * cores } } };
    const auto ahead
        = queueAhead({ backlog.rows(pool), terms, 1, TeamId("other"), 1000 * cores, Duration(2000), false });
    EXPECT_DOUBLE_EQ(ahead.milliCoreMs, 200 * cores * seconds);
    EXPECT_DOUBLE_EQ(ahead.waitingMilliCores, 100 * cores);
}

TEST(AdmissionTest, SpareCapacityIsSharedWithOtherPoolsThatLackIt)
{
    EXPECT_DOUBLE_EQ(obtainableShare(900, {}), 900);
    EXPECT_DOUBLE_EQ(obtainableShare(900, { 100, 8000 }), 400);
    EXPECT_DOUBLE_EQ(obtainableShare(0, { 100 }), 0);
}

// Estimates that are wrong by a factor of 2 either way. Fails if the bias is not learned, or follows single runs.
TEST(AdmissionTest, LearnsTheBiasOfEstimates)
{
    for (const int actual : { 400, 1600 }) {
        EstimateBias bias;
        const ServiceId pool("pool");
        EXPECT_DOUBLE_EQ(bias.ratio(pool), 1);
        bias.record(pool, Duration(800), Duration(actual), 6200);
        EXPECT_NEAR(bias.ratio(pool), 1, 0.15);
        for (int i = 0; i < 300; ++i)
            bias.record(pool, Duration(800), Duration(actual), 6200);
        EXPECT_NEAR(bias.ratio(pool), actual / 800.0, actual / 800.0 * 0.1);
    }
}

// Fails if callers that were refused together return together, sooner than after 1 s, or when their job is of no use.
TEST(AdmissionTest, RefusedCallersReturnOneAfterTheOther)
{
    RefusedCallers callers;
    const TimePoint now { Duration(5000) };
    std::map<Duration, int> returns;
    constexpr int count = 300;
    constexpr Duration limit { 6700 };
    for (int i = 0; i < count; ++i)
        ++returns[callers.refuse(
            JobId("job-" + std::to_string(i)), ServiceId("pool"), {}, Duration(1400), Duration(16), limit, now)];
    EXPECT_EQ(returns.begin()->first, Duration(1400));
    EXPECT_EQ(returns.rbegin()->first, Duration(1400 + (count - 1) * 16));
    for (const auto& [delay, callersThen] : returns)
        EXPECT_EQ(callersThen, 1);
    for (int i = 0; i < count; ++i)
        EXPECT_LE(callers.refuse(JobId("late-" + std::to_string(i)), ServiceId("pool"), {}, Duration(1400),
                      Duration(16), limit, now),
            limit);
    EXPECT_EQ(callers.refuse(JobId("hopeless"), ServiceId("pool"), {}, Duration(9000), Duration(16), Duration(-5), now),
        admission::minRetryAfter);
    EXPECT_EQ(callers.age(JobId("job-0"), now + Duration(700)), Duration(700));
    EXPECT_EQ(callers.age(JobId("new"), now), Duration(0));
}

// Fails if refusals take memory without bound: callers may send any number of ids.
TEST(AdmissionTest, TheNumberOfRememberedRefusalsIsBounded)
{
    RefusedCallers callers;
    for (int i = 0; i < 20000; ++i)
        callers.refuse(JobId("job-" + std::to_string(i)), ServiceId("pool"), {}, Duration(1400), Duration(16),
            Duration(6700), TimePoint(Duration(i)));
    EXPECT_LE(callers.size(), 8192U);
}

} // namespace marigoldlink
