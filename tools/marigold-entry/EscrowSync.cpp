// Read, propose and write cycles of the teams' escrow records.
#include "EscrowSync.h"

#include "../common/Jitter.h"
#include "marigoldlink/Protocol/RecordCodec.h"
#include "marigoldlink/State/Errors.h"
#include "marigoldlink/Support/Log.h"

namespace marigoldlink {

namespace {

    constexpr Log s_log("escrow");
    constexpr Duration s_tickPeriod { 20 };
    constexpr Duration s_sweepPeriod { 1000 };
    constexpr Duration s_conflictPause { 15 };
    constexpr Duration s_failurePause { 300 };
    // After a cycle of a team the next one waits so long, whatever the demand.
    constexpr Duration s_cyclePause { 100 };
    constexpr int s_mostCallsUnderWay = 8;

} // namespace

EscrowSync::EscrowSync(
    EventLoop& loop, HttpPlatform& platform, Membership& membership, DemandOf demandOf, LimitOf limitOf)
    : m_loop(loop)
    , m_platform(platform)
    , m_membership(membership)
    , m_demandOf(std::move(demandOf))
    , m_limitOf(std::move(limitOf))
    , m_holder(std::make_shared<EscrowHolder>(HolderId {}))
{
}

void EscrowSync::start()
{
    m_loop.every(s_tickPeriod, [this] { tick(); });
    m_loop.every(s_sweepPeriod, [this] {
        for (const auto& [team, account] : m_holder->accounts())
            wake(team);
    });
}

void EscrowSync::reset()
{
    m_holder = std::make_shared<EscrowHolder>(m_membership.self());
    m_syncs.clear();
}

void EscrowSync::wake(const TeamId& team) { m_awake.insert(team); }

void EscrowSync::giveBack(std::function<void()> done)
{
    m_onGivenBack = std::move(done);
    for (const auto& [team, account] : m_holder->accounts())
        wake(team);
}

void EscrowSync::tick()
{
    if (m_holder->self() == HolderId {})
        return;
    const auto awake = std::exchange(m_awake, {});
    for (const auto& team : awake)
        considerTeam(team);
    if (!m_onGivenBack)
        return;
    for (const auto& [team, account] : m_holder->accounts()) {
        if (account.held > 0 || account.isWriting) {
            wake(team);
            return;
        }
    }
    std::exchange(m_onGivenBack, nullptr)();
}

void EscrowSync::considerTeam(const TeamId& team)
{
    auto& sync = m_syncs[team];
    const auto held = m_holder->held(team);
    const bool isWanted = m_onGivenBack ? held > 0 : isWorthWriting(held, m_demandOf(team));
    const auto account = m_holder->accounts().find(team);
    const bool isOver = account != m_holder->accounts().end() && account->second.isOverCommitted;
    const bool isLimitNew = held > 0 && sync.limit != m_limitOf(team).upperLimit;
    if (!isWanted && !isOver && !isLimitNew)
        return;
    if (sync.isBusy || m_loop.now() < sync.notBefore || m_callsUnderWay >= s_mostCallsUnderWay) {
        wake(team);
        return;
    }
    synchronize(team);
}

void EscrowSync::pause(const TeamId& team, Duration pause)
{
    auto& sync = m_syncs[team];
    sync.isBusy = false;
    sync.notBefore = m_loop.now() + pause;
    --m_callsUnderWay;
    wake(team);
}

void EscrowSync::synchronize(const TeamId& team)
{
    m_syncs[team].isBusy = true;
    ++m_callsUnderWay;
    m_platform.read(keys::escrow(team), [this, team, holder = m_holder](ReadResult result) {
        if (holder != m_holder) {
            --m_callsUnderWay;
            return;
        }
        if (result.status == StoreStatus::Missing) {
            propose(team, std::nullopt, noRevision);
        } else if (result.status == StoreStatus::Ok) {
            try {
                propose(team, decodeEscrowRecord(result.value.value), result.value.revision);
            } catch (const Error&) {
                s_log.error("An escrow record does not parse.", { { "team", team.value() } });
                pause(team, s_failurePause);
            }
        } else {
            pause(team, jittered(s_failurePause));
        }
    });
}

void EscrowSync::propose(const TeamId& team, const std::optional<EscrowRecord>& current, Revision revision)
{
    const auto limit = m_limitOf(team);
    // A limit of the text lets the record be made; without one there is nothing to share out.
    if (!current && limit.textVersion == 0) {
        pause(team, s_failurePause);
        return;
    }
    const auto wanted = m_onGivenBack ? 0 : wantedAmount(m_demandOf(team));
    const auto isMember = [this](HolderId holder) { return m_membership.record().find(holder) != nullptr; };
    const auto proposal = m_holder->propose(team, current, limit, wanted, isMember);
    if (!proposal) {
        m_syncs[team].limit = limit.upperLimit;
        pause(team, s_cyclePause);
        return;
    }
    m_holder->writeBegins(team, *proposal);
    m_platform.write(keys::escrow(team), encode(*proposal), revision,
        [this, team, proposal, limit, holder = m_holder](WriteResult result) {
            holder->writeEnds(team, *proposal, result.status == StoreStatus::Ok);
            if (holder != m_holder) {
                --m_callsUnderWay;
                return;
            }
            const bool isConflict = result.status == StoreStatus::Conflict;
            const bool isDone = result.status == StoreStatus::Ok;
            if (isDone)
                m_syncs[team].limit = limit.upperLimit;
            pause(team, isDone ? s_cyclePause : jittered(isConflict ? s_conflictPause : s_failurePause));
            if (m_onChange)
                m_onChange();
        });
}

} // namespace marigoldlink
