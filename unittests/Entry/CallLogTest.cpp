// Tests that the log of a coordinator explains its answers to submissions and cancellings.
#include "CoordinatorHarness.h"

#include <gmock/gmock.h>

namespace marigoldlink {
namespace {

    using testing::AllOf;
    using testing::ElementsAre;
    using testing::HasSubstr;
    using testing::IsEmpty;
    using testing::SizeIs;
    using testing::StartsWith;

    class CallLog : public testing::Test {
    protected:
        CallLog()
            : fleet({ 10, 3 }, { [this](const Decision& decision) { decisions.push_back(decision); }, {} })
        {
            fleet.begin({ "w1" });
        }

        // Lines of one subject about job "a".
        std::vector<std::string> lines(const std::string& subject) const
        {
            std::vector<std::string> texts;
            for (const auto& decision : decisions) {
                if (decision.subject == subject && decision.id == "a")
                    texts.push_back(decision.text);
            }
            return texts;
        }

        void submit(const CallOrigin& origin = {})
        {
            fleet.coordinator.submit(
                CallToken(++fleet.lastToken), CoordinatorHarness::job("a"), fleet.now, std::nullopt, origin);
        }

        void cancel(const CallOrigin& origin = {})
        {
            fleet.coordinator.cancel(CallToken(++fleet.lastToken), JobId("a"), fleet.now, origin);
        }

        std::vector<Decision> decisions;
        CoordinatorHarness fleet;
        const CallOrigin origin { TeamId("inspectors"), "127.0.0.1:4100", Duration(1500) };
    };

    TEST_F(CallLog, ADenialTellsItsTermAndTheRestOfTheElectionLease)
    {
        fleet.coordinator.setLeaseValidUntil(fleet.now + Duration(900));
        cancel(origin);
        EXPECT_THAT(lines("cancelling"),
            ElementsAre("cancelling: unknown job; term 3, fence 10, lease 900 ms; entry 127.0.0.1:4100, age 1500 ms"));
    }

    TEST_F(CallLog, AnAnswerWithoutAValidLeaseIsOfASubjectOfItsOwn)
    {
        fleet.coordinator.setLeaseValidUntil(fleet.now - Duration(20));
        cancel(origin);
        EXPECT_THAT(lines("cancelling"), IsEmpty());
        EXPECT_THAT(lines("uncertain_cancelling"),
            ElementsAre("cancelling: unknown job, not certain; term 3, fence 10, lease -20 ms; entry 127.0.0.1:4100, "
                        "age 1500 ms"));
    }

    TEST_F(CallLog, AnUnknownOriginIsSaidToBeUnknown)
    {
        cancel();
        EXPECT_THAT(lines("cancelling"),
            ElementsAre("cancelling: unknown job; term 3, fence 10, no lease limit; entry unknown, age unknown"));
    }

    TEST_F(CallLog, ASubmissionTellsItsOriginAndWhenItWasStored)
    {
        submit(origin);
        EXPECT_THAT(lines("submission"),
            ElementsAre(AllOf(StartsWith("submitted to checks by"),
                HasSubstr("; term 3, fence 10, no lease limit; entry 127.0.0.1:4100, age 1500 ms"))));
        EXPECT_THAT(lines("reply"), IsEmpty());
        fleet.run(Duration(60));
        fleet.answerJournal();
        EXPECT_THAT(lines("reply"), ElementsAre("submission stored after 60 ms, version 1"));
    }

    TEST_F(CallLog, ARepeatedSubmissionTellsTheStateOfTheJob)
    {
        submit(origin);
        submit(origin);
        fleet.run(Duration(60));
        fleet.answerJournal();
        EXPECT_THAT(lines("reply"), SizeIs(2));
        submit(origin);
        const auto submissions = lines("submission");
        ASSERT_THAT(submissions, SizeIs(3));
        EXPECT_THAT(submissions[1],
            AllOf(StartsWith("submitted again: pending, version 1, stored 0; term 3"), HasSubstr("age 1500 ms")));
        EXPECT_THAT(submissions[2], StartsWith("submitted again: pending, version 1, stored 1; term 3"));
        EXPECT_THAT(lines("reply"), SizeIs(2)) << "the last one had no wait";
    }

    TEST_F(CallLog, ARefusedSubmissionTellsItsOrigin)
    {
        fleet.coordinator.submit(CallToken(++fleet.lastToken), CoordinatorHarness::job("sent"), fleet.now);
        fleet.run(Duration(800));
        ASSERT_TRUE(fleet.batch) << "its write is in flight";
        submit(origin);
        EXPECT_THAT(lines("submission"),
            ElementsAre(AllOf(StartsWith("refused: record would be stored in"),
                HasSubstr("; term 3, fence 10, no lease limit; entry 127.0.0.1:4100, age 1500 ms"))));
    }

    TEST_F(CallLog, ASubmissionThatIsRefusedLaterIsUnderTheSameSubject)
    {
        fleet.coordinator.submit(CallToken(++fleet.lastToken), CoordinatorHarness::job("sent"), fleet.now);
        fleet.run(Duration(20));
        ASSERT_TRUE(fleet.batch) << "its write is in flight";
        submit(origin);
        fleet.run(Duration(900));
        EXPECT_THAT(lines("submission"),
            ElementsAre(StartsWith("submitted to checks"), StartsWith("refused: record could not be sent")));
    }

    TEST_F(CallLog, ACancellingOfAKnownJobTellsItsStateAndVersions)
    {
        submit();
        fleet.run(Duration(60));
        fleet.answerJournal();
        fleet.run(Duration(5));
        ASSERT_THAT(fleet.starts, SizeIs(1));
        cancel(origin);
        fleet.run(Duration(30));
        cancel(origin);
        const auto answers = lines("cancelling");
        ASSERT_THAT(answers, SizeIs(2));
        EXPECT_THAT(answers[0], StartsWith("cancelled, was running, version "));
        EXPECT_THAT(
            answers[0], HasSubstr(", stored 1; term 3, fence 10, no lease limit; entry 127.0.0.1:4100, age 1500 ms"));
        EXPECT_THAT(answers[1], StartsWith("cancelling: has ended, cancelled, version "));
        fleet.answerJournal();
        EXPECT_THAT(lines("reply"),
            ElementsAre(StartsWith("submission stored after"), StartsWith("cancelling stored after 30 ms, version "),
                StartsWith("cancelling stored after 0 ms, version ")));
    }

    TEST_F(CallLog, TheEndOfAJobIsOfASubjectOfItsOwn)
    {
        fleet.accept(CoordinatorHarness::job("a"));
        fleet.run(Duration(5));
        ASSERT_THAT(fleet.starts, SizeIs(1));
        fleet.answerStarts();
        fleet.answerPolls({}, { { 1, CoordinatorHarness::task("a"), RunNumber(1), RunEnd::Done, "" } });
        EXPECT_THAT(lines("job_end"), ElementsAre("ended: complete"));
    }

    TEST_F(CallLog, TheStepsOfALargeJobAreCutOff)
    {
        auto job = CoordinatorHarness::job("a");
        job.steps.resize(1000, job.steps[0]);
        fleet.coordinator.submit(CallToken(++fleet.lastToken), job, fleet.now);
        ASSERT_THAT(lines("submission"), SizeIs(1));
        EXPECT_THAT(lines("submission")[0], HasSubstr("1 x 1000 m100, 994 more steps; term 3"));
        EXPECT_LT(lines("submission")[0].size(), 300u);
    }

} // namespace
} // namespace marigoldlink
