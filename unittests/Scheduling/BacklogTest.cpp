// Guards the incremental sums of unfinished work.
#include "marigoldlink/Scheduling/Backlog.h"

#include "../Coordination/Choices.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldlink {

namespace {

    using Key = std::tuple<ServiceId, int, TeamId>;

    WorkSum randomSum(testing::Choices& choices)
    {
        const auto next = [&choices] { return static_cast<std::int64_t>(choices.below(3)); };
        return { next(), next(), next(), next(), next() };
    }

    std::map<Key, Backlog::Row> recount(const std::map<JobId, JobLoad>& loads, TimePoint now)
    {
        std::map<Key, Backlog::Row> rows;
        for (const auto& [id, load] : loads) {
            auto& row = rows[{ load.pool, load.priority, load.team }];
            (load.yieldsAt <= now ? row.yielding : row.urgent) += load.sum;
        }
        std::erase_if(rows, [](const auto& entry) { return entry.second == Backlog::Row {}; });
        return rows;
    }

} // namespace

// Fails if an update of a job leaves a part of its earlier load in the sums, or if a job that yields from now on is not
// moved: admission would then refuse jobs for work that does not exist, or admit any number.
RC_GTEST_PROP(BacklogTest, EqualsARecountAfterEveryUpdate, ())
{
    auto choices = testing::Choices::generate();
    Backlog backlog;
    std::map<JobId, JobLoad> loads;
    TimePoint now;
    while (!choices.isOver()) {
        const JobId id("job-" + std::to_string(choices.below(6)));
        switch (choices.below(4)) {
        case 0:
            backlog.remove(id);
            loads.erase(id);
            break;
        case 1:
            now += Duration(static_cast<int>(choices.below(30)));
            backlog.advance(now);
            break;
        default:
            loads[id] = { ServiceId("pool-" + std::to_string(choices.below(2))),
                TeamId("team-" + std::to_string(choices.below(3))), static_cast<int>(choices.below(2)),
                randomSum(choices), now + Duration(static_cast<int>(choices.below(60)) - 10) };
            backlog.set(id, loads[id]);
        }
        std::map<Key, Backlog::Row> rows;
        for (const auto* pool : { "pool-0", "pool-1" }) {
            for (const auto& [priority, teams] : backlog.rows(ServiceId(pool))) {
                for (const auto& [team, row] : teams)
                    rows[{ ServiceId(pool), priority, team }] = row;
            }
        }
        RC_ASSERT(rows == recount(loads, now));
    }
}

} // namespace marigoldlink
