// Tests of the ids of jobs that were cancelled before their submission.
#include "marigoldlink/Coordination/CancelledIds.h"
#include "Choices.h"

#include <algorithm>
#include <gmock/gmock.h>
#include <rapidcheck/gtest.h>

namespace marigoldlink {
namespace {

    using ::testing::ElementsAre;
    using ::testing::IsEmpty;

    const TeamId s_team("bookings");
    const TeamId s_otherTeam("gates");
    constexpr Duration s_retention { 1000 };
    const TimePoint s_start { Duration(5000) };

    TEST(CancelledIds, TheLimitOfOneTeamDoesNotConcernAnother)
    {
        CancelledIds ids({ 2, s_retention });
        EXPECT_TRUE(ids.add(JobId("a"), s_team));
        EXPECT_TRUE(ids.add(JobId("b"), s_team));
        EXPECT_FALSE(ids.add(JobId("c"), s_team));
        EXPECT_FALSE(ids.contains(JobId("c")));
        EXPECT_TRUE(ids.add(JobId("c"), s_otherTeam));
        EXPECT_THAT(ids.takeAdded(), ElementsAre(JobId("a"), JobId("b"), JobId("c")));
        EXPECT_THAT(ids.takeAdded(), IsEmpty());
    }

    TEST(CancelledIds, RetentionCountsFromTheTimeOfStoring)
    {
        CancelledIds ids({ 1, s_retention });
        ASSERT_TRUE(ids.add(JobId("a"), s_team));
        EXPECT_FALSE(ids.isStored(JobId("a")));
        EXPECT_EQ(ids.nextExpiry(s_team, s_start), std::nullopt);
        EXPECT_THAT(ids.takeExpired(s_start + s_retention * 10), IsEmpty()) << "it is not stored yet";
        ids.markStored(JobId("a"), s_start);
        EXPECT_TRUE(ids.isStored(JobId("a")));
        EXPECT_EQ(ids.nextExpiry(s_team, s_start), s_retention);
        ids.markStored(JobId("a"), s_start + Duration(500));
        EXPECT_THAT(ids.takeExpired(s_start + s_retention - Duration(1)), IsEmpty());
        EXPECT_THAT(ids.takeExpired(s_start + s_retention), ElementsAre(JobId("a")));
        EXPECT_FALSE(ids.contains(JobId("a")));
        EXPECT_TRUE(ids.add(JobId("b"), s_team)) << "an expired id does not count";
    }

    TEST(CancelledIds, ARenewedIdIsKeptForItsWholeRetention)
    {
        CancelledIds ids({ 2, s_retention });
        for (const char* id : { "a", "b" }) {
            ASSERT_TRUE(ids.add(JobId(id), s_team));
            ids.markStored(JobId(id), s_start);
        }
        const auto renewedAt = s_start + s_retention - Duration(1);
        ids.renew(JobId("a"), renewedAt);
        EXPECT_THAT(ids.takeExpired(s_start + s_retention), ElementsAre(JobId("b")));
        EXPECT_THAT(ids.takeExpired(renewedAt + s_retention - Duration(1)), IsEmpty());
        EXPECT_THAT(ids.takeExpired(renewedAt + s_retention), ElementsAre(JobId("a")));
    }

    TEST(CancelledIds, RestoredIdsCountAgainstTheLimitButAreAllKept)
    {
        CancelledIds ids({ 1, s_retention });
        ids.restore(JobId("a"), s_team, s_start);
        ids.restore(JobId("b"), s_team, s_start);
        ids.restore(JobId("b"), s_team, s_start);
        EXPECT_TRUE(ids.isStored(JobId("a")));
        EXPECT_TRUE(ids.isStored(JobId("b")));
        EXPECT_EQ(ids.team(JobId("b")), s_team);
        EXPECT_THAT(ids.takeAdded(), IsEmpty()) << "their records exist";
        EXPECT_FALSE(ids.add(JobId("c"), s_team));
        EXPECT_THAT(ids.takeExpired(s_start + s_retention), ElementsAre(JobId("a"), JobId("b")));
        EXPECT_TRUE(ids.add(JobId("c"), s_team));
    }

    // Compares with a plain list of what is kept.
    RC_GTEST_PROP(CancelledIds, KeepsEachIdForItsRetentionAndNoTeamBeyondItsLimit, ())
    {
        auto choices = testing::Choices::generate();
        constexpr std::size_t limit = 3;
        CancelledIds ids({ limit, s_retention });
        struct Kept {
            TeamId team;
            std::optional<TimePoint> storedAt;
        };
        std::map<JobId, Kept> kept;
        auto now = s_start;
        for (int i = 0; i < 60; ++i) {
            now += Duration(static_cast<std::int64_t>(choices.below(400)));
            for (const auto& id : ids.takeExpired(now)) {
                const auto found = kept.find(id);
                RC_ASSERT(found != kept.end() && found->second.storedAt);
                RC_ASSERT(*found->second.storedAt + s_retention <= now);
                kept.erase(found);
            }
            const JobId id("job" + std::to_string(choices.below(12)));
            const auto& team = choices.below(2) ? s_team : s_otherTeam;
            if (ids.contains(id)) {
                ids.markStored(id, now);
                if (!kept.at(id).storedAt)
                    kept.at(id).storedAt = now;
            } else {
                const auto count = std::count_if(
                    kept.begin(), kept.end(), [&team](const auto& entry) { return entry.second.team == team; });
                const bool isAdded = ids.add(id, team);
                RC_ASSERT(isAdded == (count < static_cast<std::ptrdiff_t>(limit)));
                if (isAdded)
                    kept.emplace(id, Kept { team, std::nullopt });
            }
            for (const auto& [keptId, entry] : kept) {
                RC_ASSERT(ids.contains(keptId));
                RC_ASSERT(ids.isStored(keptId) == entry.storedAt.has_value());
                RC_ASSERT(!entry.storedAt || now < *entry.storedAt + s_retention);
            }
        }
    }

} // namespace
} // namespace marigoldlink
