// Tests of an entry instance's metrics: series, the limit of team labels, and measurements of a coordinator.
#include "CoordinatorHarness.h"
#include "marigoldlink/Entry/FleetMetrics.h"

#include <gmock/gmock.h>

namespace marigoldlink {
namespace {

    using testing::HasSubstr;
    using testing::Not;

    TEST(Metrics, CountsCallsByKindTeamAndOutcome)
    {
        FleetMetrics metrics;
        CallReport call;
        call.kind = "submit";
        call.team = TeamId("inspectors");
        call.time = Duration(20);
        metrics.record(call);
        call.outcome = CallOutcome::NotReached;
        metrics.record(call);
        const auto text = metrics.text();
        EXPECT_THAT(text, HasSubstr(R"(marigold_calls_total{kind="submit",outcome="done",team="inspectors"} 1)"));
        EXPECT_THAT(
            text, HasSubstr(R"(marigold_calls_total{kind="submit",outcome="not_reached",team="inspectors"} 1)"));
        EXPECT_THAT(text, HasSubstr(R"(marigold_call_seconds_count{kind="submit"} 2)"));
    }

    TEST(Metrics, TeamsBeyondTheBoundShareOneLabel)
    {
        FleetMetrics metrics;
        for (int i = 0; i < 200; ++i)
            metrics.record(JobStarted { TeamId("team" + std::to_string(i)), 0, Duration(5) });
        const auto text = metrics.text();
        EXPECT_THAT(text, HasSubstr(R"(marigold_job_wait_seconds_count{priority="0",team="team63"} 1)"));
        EXPECT_THAT(text, Not(HasSubstr(R"(team="team64")")));
        EXPECT_THAT(text, HasSubstr(R"(marigold_job_wait_seconds_count{priority="0",team="other"} 136)"));
    }

    TEST(Metrics, PoolGaugesAreZeroAfterOwnershipIsLost)
    {
        FleetMetrics metrics;
        metrics.setCoordinator(true);
        metrics.record(PoolMeasured { ServiceId("gates"), 3, 192, 50, 70, 0 });
        EXPECT_THAT(metrics.text(), HasSubstr(R"(marigold_pool_cores{of="asked",pool="gates"} 70)"));
        metrics.setCoordinator(false);
        EXPECT_THAT(metrics.text(), HasSubstr(R"(marigold_pool_cores{of="asked",pool="gates"} 0)"));
        EXPECT_THAT(metrics.text(), HasSubstr("marigold_is_coordinator 0"));
    }

    // Guards against contention that operators cannot see.
    TEST(Metrics, CountsLeavingInstancesAndContendedMoves)
    {
        FleetMetrics metrics;
        metrics.record(PoolMeasured { ServiceId("gates"), 30, 1920, 1900, 7000, 3 });
        metrics.record(ContendedMove { ServiceId("gates"), ServiceId("bookings") });
        EXPECT_THAT(metrics.text(), HasSubstr(R"(marigold_pool_leaving_instances{pool="gates"} 3)"));
        EXPECT_THAT(metrics.text(), HasSubstr(R"(marigold_contended_moves_total{from="gates",to="bookings"} 1)"));
    }

    TEST(Metrics, CountsRefusalsByPoolAndReason)
    {
        FleetMetrics metrics;
        metrics.record(PoolMeasured { ServiceId("gates"), 3, 192, 50, 70, 0 });
        metrics.record(SubmissionRefused { ServiceId("gates"), "pool_backlog" });
        metrics.record(WaitMeasured { ServiceId("gates"), Duration(1500) });
        EXPECT_THAT(
            metrics.text(), HasSubstr(R"(marigold_admission_refusals_total{pool="gates",reason="pool_backlog"} 1)"));
        EXPECT_THAT(metrics.text(), HasSubstr(R"(marigold_pool_expected_wait_seconds{pool="gates"} 1.5)"));
        metrics.setCoordinator(false);
        EXPECT_THAT(metrics.text(), HasSubstr(R"(marigold_pool_expected_wait_seconds{pool="gates"} 0)"));
    }

    // Guards against a series for each of any number of teams, and against an allotment that outlasts the shortage.
    TEST(Metrics, TeamCoresHaveABoundAndEndWithTheShortage)
    {
        FleetMetrics metrics;
        TeamsMeasured measured;
        for (int i = 0; i < 66; ++i)
            measured.teams.push_back({ TeamId("team" + std::to_string(i)), 1, 9, 2 });
        metrics.record(measured);
        EXPECT_THAT(metrics.text(), HasSubstr(R"(marigold_team_cores{of="allotted",team="team63"} 2)"));
        EXPECT_THAT(metrics.text(), HasSubstr(R"(marigold_team_cores{of="asked",team="other"} 18)"));
        metrics.record(TeamsMeasured {});
        EXPECT_THAT(metrics.text(), HasSubstr(R"(marigold_team_cores{of="asked",team="other"} 0)"));
    }

    TEST(Metrics, CountsUnloggedDecisionsBySubject)
    {
        FleetMetrics metrics;
        metrics.countUnloggedDecisions({ { "task", 7 }, { "cancelling", 1 } });
        metrics.countUnloggedDecisions({ { "task", 3 } });
        const auto text = metrics.text();
        EXPECT_THAT(text, HasSubstr(R"(marigold_unlogged_decisions_total{subject="task"} 10)"));
        EXPECT_THAT(text, HasSubstr(R"(marigold_unlogged_decisions_total{subject="cancelling"} 1)"));
    }

    TEST(Metrics, CoordinatorLoadAddsUp)
    {
        FleetMetrics metrics;
        CoordinatorLoad load;
        load.decisions = std::chrono::microseconds(1500000);
        load.orders["polls"] = 3;
        load.loopIterations = 40;
        metrics.record(load);
        metrics.record(load);
        const auto text = metrics.text();
        EXPECT_THAT(text, HasSubstr(R"(marigold_coordinator_seconds_total{part="decisions"} 3)"));
        EXPECT_THAT(text, HasSubstr(R"(marigold_orders_total{kind="polls"} 6)"));
        EXPECT_THAT(text, HasSubstr("marigold_loop_iterations_total 80"));
    }

    TEST(Metrics, ACoordinatorTellsOfStartsEndsAndWrites)
    {
        FleetMetrics metrics;
        CoordinatorHarness fleet(
            { 10, 1 }, { {}, [&](const Measurement& measurement) { metrics.record(measurement); } });
        fleet.begin({ "w1" });
        fleet.accept(CoordinatorHarness::job("a"));
        fleet.run(Duration(5));
        ASSERT_EQ(fleet.starts.size(), 1u);
        fleet.answerStarts();
        fleet.answerPolls({}, { { 1, CoordinatorHarness::task("a"), RunNumber(1), RunEnd::Done, "" } });
        const auto text = metrics.text();
        EXPECT_THAT(text, HasSubstr(R"(marigold_job_wait_seconds_count{priority="0",team="none"} 1)"));
        EXPECT_THAT(text, HasSubstr(R"(marigold_starts_total{answer="started"} 1)"));
        EXPECT_THAT(text, HasSubstr(R"(marigold_runs_ended_total{how="done"} 1)"));
        EXPECT_THAT(text, HasSubstr(R"(marigold_jobs_ended_total{state="complete",team="none"} 1)"));
        EXPECT_THAT(text, HasSubstr(R"(marigold_journal_write_seconds_count{answer="stored"} 2)"));
    }

} // namespace
} // namespace marigoldlink
