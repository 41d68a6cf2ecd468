// Synchronizes escrow records in cycles of read, proposal and compare-and-swap.
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
    constexpr Duration s_conflictBackoff { 15 };
    constexpr Duration s_failureBackoff { 300 };
    // Minimum time between two cycles of the same team, regardless of demand.
    constexpr Duration s_syncInterval { 100 };
    constexpr int s_maxCallsInFlight = 8;

} // namespace

EscrowSync::EscrowSync(EventLoop& loop, HttpPlatform& platform, Membership& membership, DemandProvider demandOf,
    LimitProvider currentLimit)
    : m_loop(loop)
    , m_platform(platform)
    , m_membership(membership)
    , m_currentDemand(std::move(demandOf))
    , m_currentLimit(std::move(currentLimit))
    , m_holder(std::make_shared<EscrowHolder>(HolderId {}))
{
}

void EscrowSync::start()
{
    m_loop.every(s_tickPeriod, [this] { tick(); });
    m_loop.every(s_sweepPeriod, [this] {
        for (const auto& [team, account] : m_holder->accounts())
            scheduleSync(team);
    });
}

void EscrowSync::reset()
{
    m_holder = std::make_shared<EscrowHolder>(m_membership.self());
    m_syncs.clear();
}

void EscrowSync::scheduleSync(const TeamId& team) { m_scheduledTeams.insert(team); }

void EscrowSync::releaseAll(std::function<void()> done)
{
    m_isReleasing = true;
    m_onAllReleased = std::move(done);
    for (const auto& [team, account] : m_holder->accounts())
        scheduleSync(team);
}

void EscrowSync::tick()
{
    if (m_holder->self() == HolderId {})
        return;
    const auto scheduledTeams = std::exchange(m_scheduledTeams, {});
    for (const auto& team : scheduledTeams)
        syncIfNeeded(team);
    if (!m_onAllReleased)
        return;
    for (const auto& [team, account] : m_holder->accounts()) {
        if (account.held > 0 || account.isWriteInFlight) {
            scheduleSync(team);
            return;
        }
    }
    std::exchange(m_onAllReleased, nullptr)();
}

void EscrowSync::syncIfNeeded(const TeamId& team)
{
    auto& sync = m_syncs[team];
    const auto held = m_holder->held(team);
    const bool isWanted = m_isReleasing ? held > 0 : shouldWriteEscrow(held, m_currentDemand(team));
    const auto account = m_holder->accounts().find(team);
    const bool isOver = account != m_holder->accounts().end() && account->second.isOverCommitted;
    const bool isLimitNew = held > 0 && sync.limit != m_currentLimit(team).upperLimit;
    if (!isWanted && !isOver && !isLimitNew)
        return;
    if (sync.isBusy || m_loop.now() < sync.notBefore || m_callsInFlight >= s_maxCallsInFlight) {
        scheduleSync(team);
        return;
    }
    synchronize(team);
}

void EscrowSync::finishSync(const TeamId& team, Duration pause)
{
    auto& sync = m_syncs[team];
    sync.isBusy = false;
    sync.notBefore = m_loop.now() + pause;
    --m_callsInFlight;
    scheduleSync(team);
}

void EscrowSync::synchronize(const TeamId& team)
{
    m_syncs[team].isBusy = true;
    ++m_callsInFlight;
    m_platform.read(keys::escrow(team), [this, team, holder = m_holder](ReadResult result) {
        if (holder != m_holder) {
            --m_callsInFlight;
            return;
        }
        if (result.status == StoreStatus::Missing) {
            propose(team, std::nullopt, noRevision);
        } else if (result.status == StoreStatus::Ok) {
            try {
                propose(team, decodeEscrowRecord(result.value.value), result.value.revision);
            } catch (const Error&) {
                s_log.error("Cannot parse an escrow record.", { { "team", team.value() } });
                finishSync(team, s_failureBackoff);
            }
        } else {
            finishSync(team, jittered(s_failureBackoff));
        }
    });
}

void EscrowSync::propose(const TeamId& team, const std::optional<EscrowRecord>& current, Revision revision)
{
    const auto limit = m_currentLimit(team);
    // The record can be created only once the limit is known from a fleet specification.
    if (!current && limit.specVersion == 0) {
        finishSync(team, s_failureBackoff);
        return;
    }
    const auto wanted = m_isReleasing ? 0 : targetAmount(m_currentDemand(team));
    const auto isMember = [this](HolderId holder) { return m_membership.record().find(holder) != nullptr; };
    const auto proposal = m_holder->propose(team, current, limit, wanted, isMember);
    if (!proposal) {
        m_syncs[team].limit = limit.upperLimit;
        finishSync(team, s_syncInterval);
        return;
    }
    m_holder->beginWrite(team, *proposal);
    m_platform.write(keys::escrow(team), encode(*proposal), revision,
        [this, team, proposal, limit, holder = m_holder](WriteResult result) {
            holder->endWrite(team, *proposal, result.status == StoreStatus::Ok);
            if (holder != m_holder) {
                --m_callsInFlight;
                return;
            }
            const bool isConflict = result.status == StoreStatus::Conflict;
            const bool isDone = result.status == StoreStatus::Ok;
            if (isDone)
                m_syncs[team].limit = limit.upperLimit;
            finishSync(team, isDone ? s_syncInterval : jittered(isConflict ? s_conflictBackoff : s_failureBackoff));
            if (m_onChange)
                m_onChange();
        });
}

} // namespace marigoldlink
