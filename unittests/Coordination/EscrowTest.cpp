// Escrow of upper limits with lost answers, delayed writes, crashes, frozen holders and changed limits.
#include "marigoldlink/Coordination/Escrow.h"
#include "Choices.h"

#include <gtest/gtest.h>
#include <list>
#include <rapidcheck/gtest.h>

namespace marigoldlink::testing {

namespace {

    const TeamId s_team("team");

    // A holder process, its tasks on the workers, and its write in flight.
    struct Process {
        EscrowHolder holder;
        bool isFrozen { false }; // does nothing, and still assumes that its leases are valid
        bool hasExpiredLeases { false }; // its leases have expired: its tasks have ended and it can start none
        Slots tasks { 0 };
        std::optional<EscrowRecord> writing;
        Revision writingAt { noRevision };

        explicit Process(HolderId id)
            : holder(id)
        {
        }
    };

    struct DelayedWrite {
        EscrowRecord record;
        Revision expected { noRevision };
    };

    class EscrowModel {
    public:
        explicit EscrowModel(Slots limit)
            : m_limit { limit, 1 }
        {
            join();
            join();
        }

        void step(Choices& choices)
        {
            switch (choices.below(12)) {
            case 0:
            case 1:
            case 2:
                start(choices.pick(m_processes));
                break;
            case 3:
            case 4:
                finish(choices.pick(m_processes));
                break;
            case 5:
            case 6:
                beginWrite(choices.pick(m_processes), static_cast<Slots>(choices.below(30)));
                break;
            case 7:
                endWrite(choices.pick(m_processes), choices.below(5));
                break;
            case 8:
                applyDelayed(choices);
                break;
            case 9:
                choices.pick(m_processes).isFrozen ^= true;
                break;
            case 10:
                removeFrozen(choices.pick(m_processes));
                break;
            case 11:
                if (m_processes.size() < 5)
                    join();
                break;
            }
            check();
        }

        void setLimit(Slots limit)
        {
            ++m_limit.specVersion;
            m_limit.upperLimit = limit;
        }

        Slots running() const
        {
            Slots sum = 0;
            for (const auto& process : m_processes)
                sum += process.tasks;
            return sum;
        }

        Slots recorded() const { return m_record ? m_record->total() : 0; }
        std::function<void(Slots before, const EscrowRecord&)> onWrite;

    private:
        void join()
        {
            const HolderId id { m_nextHolder++ };
            m_members.insert(id);
            m_processes.emplace_back(id);
        }

        // A frozen process may try to start tasks when it resumes; only its expired leases prevent it.
        void start(Process& process)
        {
            if (process.holder.tryStart(s_team)) {
                if (process.hasExpiredLeases)
                    process.holder.finish(s_team);
                else
                    ++process.tasks;
            }
        }

        void finish(Process& process)
        {
            if (process.tasks == 0)
                return;
            --process.tasks;
            process.holder.finish(s_team);
        }

        void beginWrite(Process& process, Slots wanted)
        {
            if (process.isFrozen || process.writing)
                return;
            auto proposal = process.holder.propose(
                s_team, m_record, m_limit, wanted, [this](HolderId id) { return m_members.contains(id); });
            if (!proposal)
                return;
            process.holder.beginWrite(s_team, *proposal);
            process.writing = proposal;
            process.writingAt = m_revision;
        }

        bool apply(const EscrowRecord& record, Revision expected)
        {
            if (expected != m_revision)
                return false;
            if (onWrite)
                onWrite(recorded(), record);
            m_record = record;
            m_revision = Revision(static_cast<std::uint64_t>(m_revision) + 1);
            return true;
        }

        void endWrite(Process& process, std::size_t outcome)
        {
            if (!process.writing)
                return;
            const auto record = *std::exchange(process.writing, std::nullopt);
            bool isConfirmed = false;
            if (outcome <= 1)
                isConfirmed = apply(record, process.writingAt);
            else if (outcome == 2)
                apply(record, process.writingAt); // the answer is lost
            else if (outcome == 3)
                m_delayed.push_back({ record, process.writingAt }); // no answer; the write takes effect later
            process.holder.endWrite(s_team, record, isConfirmed);
        }

        void applyDelayed(Choices& choices)
        {
            if (m_delayed.empty())
                return;
            const auto write = choices.pick(m_delayed);
            m_delayed.clear();
            apply(write.record, write.expected);
        }

        // Removes a process that did not renew its leases, after they have expired on the workers.
        void removeFrozen(Process& process)
        {
            if (!process.isFrozen || m_members.size() < 2)
                return;
            process.hasExpiredLeases = true;
            process.tasks = 0;
            m_members.erase(process.holder.self());
        }

        void check() const
        {
            RC_ASSERT(running() <= recorded());
            for (const auto& process : m_processes) {
                const auto found
                    = m_record ? m_record->held.find(process.holder.self()) : decltype(m_record->held.end()) {};
                const bool isRecorded = m_record && found != m_record->held.end();
                if (!process.hasExpiredLeases)
                    RC_ASSERT(process.holder.held(s_team) <= (isRecorded ? found->second : 0));
            }
        }

        TeamLimit m_limit;
        std::list<Process> m_processes;
        std::set<HolderId> m_members;
        std::optional<EscrowRecord> m_record;
        Revision m_revision { noRevision };
        std::list<DelayedWrite> m_delayed;
        std::uint64_t m_nextHolder { 1 };
    };

} // namespace

RC_GTEST_PROP(Escrow, RunningNeverExceedsLimit, ())
{
    auto choices = Choices::generate();
    const auto limit = static_cast<Slots>(choices.below(20));
    EscrowModel model(limit);
    while (!choices.isOver()) {
        model.step(choices);
        RC_ASSERT(model.running() <= limit);
    }
}

RC_GTEST_PROP(Escrow, LoweredLimitIsReachedWithoutNewStarts, ())
{
    auto choices = Choices::generate();
    EscrowModel model(20);
    model.onWrite
        = [](Slots before, const EscrowRecord& record) { RC_ASSERT(record.total() <= std::max(before, record.limit)); };
    while (!choices.isOver()) {
        if (choices.below(15) == 0)
            model.setLimit(static_cast<Slots>(choices.below(20)));
        model.step(choices);
        RC_ASSERT(model.running() <= 20);
    }
}

TEST(Escrow, OverCommittedHolderStartsNothing)
{
    EscrowHolder holder(HolderId(1));
    const auto isMember = [](HolderId) { return true; };
    const EscrowRecord record { 10, 1, { { HolderId(1), 4 }, { HolderId(2), 6 } } };
    auto proposal = holder.propose(s_team, record, { 10, 1 }, 4, isMember);
    holder.beginWrite(s_team, *proposal);
    holder.endWrite(s_team, *proposal, true);
    for (int i = 0; i < 3; ++i)
        ASSERT_TRUE(holder.tryStart(s_team));

    proposal = holder.propose(s_team, *proposal, { 5, 2 }, 4, isMember);
    ASSERT_TRUE(proposal);
    EXPECT_EQ(proposal->held.at(HolderId(1)), 3);
    EXPECT_FALSE(holder.canStart(s_team));
    holder.beginWrite(s_team, *proposal);
    holder.endWrite(s_team, *proposal, true);
    holder.finish(s_team);
    EXPECT_FALSE(holder.canStart(s_team)) << "the sum is still above the lowered limit";
}

TEST(Escrow, ShrinksBeforeTheWriteAndGrowsAfterIt)
{
    EscrowHolder holder(HolderId(1));
    const auto isMember = [](HolderId) { return true; };
    const auto grow = holder.propose(s_team, std::nullopt, { 10, 1 }, 6, isMember);
    holder.beginWrite(s_team, *grow);
    EXPECT_EQ(holder.held(s_team), 0);
    holder.endWrite(s_team, *grow, true);
    EXPECT_EQ(holder.held(s_team), 6);

    const auto shrink = holder.propose(s_team, *grow, { 10, 1 }, 2, isMember);
    holder.beginWrite(s_team, *shrink);
    EXPECT_EQ(holder.held(s_team), 2);
    holder.endWrite(s_team, *shrink, false);
    EXPECT_EQ(holder.held(s_team), 2) << "the write may still take effect";
}

} // namespace marigoldlink::testing
