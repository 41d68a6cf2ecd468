// Tests of the removal of the records of ended jobs: at no time may the store hold the progress of a job without the
// job itself, or the other way round.
#include "CoordinatorHarness.h"

#include <gmock/gmock.h>

namespace marigoldlink {
namespace {

    using testing::Contains;
    using testing::Key;
    using testing::Not;

    class EndedJobs : public testing::Test {
    protected:
        static constexpr int s_jobs = 60; // their records fill more than four batches

        static CoordinatorSettings settings()
        {
            CoordinatorSettings settings;
            settings.statusRetention = Duration(2000);
            return settings;
        }

        static std::string id(int job) { return "a" + std::to_string(10 + job); } // in the order of their numbers

        void pass(Duration time)
        {
            for (const auto end = fleet.now + time; fleet.now < end;) {
                fleet.run(Duration(50));
                fleet.storeBatch(stored);
                fleet.answerPolls();
            }
        }

        void endJobs()
        {
            fleet.begin({ "w1" });
            for (int i = 0; i < s_jobs; ++i)
                fleet.coordinator.submit(CallToken(++fleet.lastToken), CoordinatorHarness::job(id(i)), fleet.now);
            for (int i = 0; i < s_jobs; ++i)
                fleet.coordinator.cancel(CallToken(++fleet.lastToken), JobId(id(i)), fleet.now);
            pass(Duration(1000));
            ASSERT_THAT(stored, Contains(Key(records::job(JobId(id(s_jobs - 1))))));
            ASSERT_THAT(stored, Contains(Key(records::progress(JobId(id(s_jobs - 1))))));
        }

        // Passes time until the first write that removes records of jobs is in flight.
        void beginRemoval()
        {
            const auto latest = fleet.now + Duration(20000);
            while (fleet.now < latest) {
                fleet.run(Duration(50));
                if (fleet.batch && !fleet.batch->removals.empty())
                    return;
                fleet.storeBatch(stored);
                fleet.answerPolls();
            }
            FAIL() << "no record was removed";
        }

        // The number of jobs of which one record is stored and the other is not.
        int countTornJobs() const
        {
            int torn = 0;
            for (int i = 0; i < s_jobs; ++i)
                torn += stored.contains(records::job(JobId(id(i)))) != stored.contains(records::progress(JobId(id(i))));
            return torn;
        }

        CoordinatorHarness fleet { { 10, 1 }, {}, settings() };
        std::map<std::string, std::string> stored;
    };

    // Guards against LOST violations: a coordinator ended between the writes that removed the records of an old job.
    // The progress stayed, and ended a later job with the same id.
    TEST_F(EndedJobs, BothRecordsOfAJobAreRemovedInOneWrite)
    {
        endJobs();
        beginRemoval();
        int writes = 0;
        while (fleet.batch && fleet.now < TimePoint(Duration(200000))) {
            ++writes;
            fleet.storeBatch(stored);
            ASSERT_EQ(countTornJobs(), 0) << "after write " << writes;
            // Another record in the next write, so that an odd number is left for removals.
            fleet.coordinator.submit(
                CallToken(++fleet.lastToken), CoordinatorHarness::job("b" + std::to_string(writes)), fleet.now);
            fleet.run(Duration(60));
            fleet.answerPolls();
            if (!stored.contains(records::job(JobId(id(s_jobs - 1)))))
                break;
        }
        EXPECT_GT(writes, 4) << "the records do not fit into one write";
        EXPECT_THAT(stored, Not(Contains(Key(records::job(JobId(id(s_jobs - 1)))))));
    }

    // Guards against the same for a job that is submitted while the records of an old one with its id are being
    // removed.
    TEST_F(EndedJobs, TheProgressOfAnOldJobIsGoneOnceALaterJobWithItsIdIsStored)
    {
        endJobs();
        beginRemoval();
        const JobId last(id(s_jobs - 1));
        ASSERT_THAT(fleet.batch->removals, Not(Contains(records::job(last)))) << "still queued";
        fleet.replies.clear();
        fleet.coordinator.submit(CallToken(900), CoordinatorHarness::job(last.value()), fleet.now);
        for (int i = 0; i < 20 && fleet.replies.empty(); ++i) {
            fleet.run(Duration(10));
            if (fleet.replies.empty())
                fleet.storeBatch(stored);
        }
        ASSERT_EQ(fleet.replies.size(), 1u);
        ASSERT_EQ(fleet.replies[0].reply.kind, Reply::Kind::Accepted);

        CoordinatorHarness successor({ 11, 2 });
        successor.restore(stored);
        successor.begin({ "w1" });
        const auto status = successor.coordinator.jobStatus(last);
        EXPECT_EQ(status.kind, Reply::Kind::State);
        EXPECT_NE(status.state, JobState::Cancelled) << "the state of the old job";
    }

} // namespace
} // namespace marigoldlink
