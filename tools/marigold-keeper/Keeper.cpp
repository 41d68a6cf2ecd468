// Planning cycles of the keeper.
#include "Keeper.h"

#include "../common/ConnectionDrain.h"
#include "../common/Jitter.h"
#include "marigoldlink/Coordination/ApiKeyStore.h"
#include "marigoldlink/Protocol/RecordCodec.h"
#include "marigoldlink/Support/Log.h"

#include <nlohmann/json.hpp>

namespace marigoldlink {

namespace {

    using Json = nlohmann::json;

    constexpr Log s_log("keeper");
    constexpr Duration s_retryDelay { 300 };
    constexpr std::size_t s_maxBody = 1024; // requests have none
    constexpr std::size_t s_maxWritesPerCycle = 64;
    constexpr Duration s_budgetPeriod { 5000 };
    // Length of the budget window: the duration of one maintenance round.
    constexpr Duration s_budgetWindow = std::chrono::duration_cast<Duration>(std::chrono::days(49));
    const std::string s_leaderKey = "keeper/turn";

} // namespace

Keeper::Keeper(EventLoop& loop, KeeperSettings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_client(loop)
    , m_platform(m_client, m_settings.platform)
    , m_workers(m_client)
    , m_freshness({})
    , m_config(loop, m_platform, m_freshness)
    , m_guard(loop, m_settings.limits, {})
    , m_server(loop, { s_maxBody, m_settings.limits.idleTime, &m_guard, ListenerKind::Internal },
          [this](const HttpRequest& request, HttpResponderPtr responder) {
              if (request.path == "/healthz")
                  responder->send({ 200, "ready", "text/plain", {} });
              else if (request.path == "/status")
                  answerStatus(*responder);
              else
                  responder->send({ 404, "no such path", "text/plain", {} });
          })
    , m_planner({ static_cast<std::size_t>(m_settings.waveWidth), 0.1, 1 })
    , m_name(createKey().record.id.value())
{
    m_view.round = static_cast<std::uint64_t>(m_settings.maintenanceRound);
}

Endpoint Keeper::start()
{
    auto endpoint = m_server.listen(m_settings.listen);
    m_config.start();
    watchInstanceRecords();
    pollInstanceList();
    syncBudgets();
    round();
    return endpoint;
}

void Keeper::stop()
{
    if (std::exchange(m_isStopping, true))
        return;
    s_log.info("Stopping.");
    m_server.stopListening();
    m_guard.drain(ListenerKind::Internal, drainIdleTime);
    waitForConnections(m_loop, m_guard, ListenerKind::Internal, [this] {
        s_log.info("Stopped.");
        m_loop.stop();
    });
}

void Keeper::round()
{
    if (m_isStopping)
        return;
    renewLeadership();
    if (isLeader() && m_config.spec()) {
        probeInstances();
        plan();
    }
    m_loop.after(jittered(m_settings.round), [this] { round(); });
}

bool Keeper::isLeader() const { return m_isLeader && !m_isStopping; }

// Renews the leadership lease by compare-and-swap, or takes it over if its value did not change for a full lease time.
void Keeper::renewLeadership()
{
    m_platform.read(s_leaderKey, [this](ReadResult result) {
        if (result.status != StoreStatus::Ok && result.status != StoreStatus::Missing) {
            m_isLeader = false;
            return;
        }
        const auto now = m_loop.now();
        if (result.value.value != m_leaderValue || result.status == StoreStatus::Missing) {
            m_leaderValue = result.value.value;
            m_leaderValueChangedAt = now;
        }
        const bool isMine = m_leaderValue.starts_with(m_name + " ");
        const bool isFree
            = result.status == StoreStatus::Missing || now - m_leaderValueChangedAt > m_settings.leadershipTimeout;
        if (!isMine && !isFree) {
            m_isLeader = false;
            return;
        }
        const auto value = m_name + " " + std::to_string(++m_leaderRenewals);
        m_platform.write(s_leaderKey, value, result.value.revision,
            [this](WriteResult written) { m_isLeader = written.status == StoreStatus::Ok; });
    });
}

void Keeper::watchInstanceRecords()
{
    m_platform.watch(keys::instancePrefix, m_watchedTo, [this](RangeResult result) {
        if (result.status != StoreStatus::Ok) {
            m_loop.after(jittered(s_retryDelay), [this] { watchInstanceRecords(); });
            return;
        }
        m_watchedTo = result.revision < m_watchedTo ? noRevision : result.revision;
        for (const auto& value : result.values) {
            const auto record = decodeInstanceRecord(value.value);
            m_view.records[record.id] = record;
            m_revisions[record.id] = value.revision;
        }
        trackDrains();
        watchInstanceRecords();
    });
}

void Keeper::trackDrains()
{
    for (const auto& [id, record] : m_view.records) {
        if (record.phase != InstancePhase::Draining) {
            m_drains.erase(id);
            continue;
        }
        auto& drain = m_drains[id];
        if (drain.epoch == record.epoch)
            continue;
        drain = { record.epoch, m_loop.now() };
        m_view.drained.erase(id);
    }
    std::erase_if(m_view.drained, [this](const InstanceId& id) { return !m_drains.contains(id); });
}

void Keeper::pollInstanceList()
{
    m_platform.instances([this](InstanceListResult result) {
        if (result.status == StoreStatus::Ok) {
            m_view.listed.clear();
            for (auto& info : result.instances)
                m_view.listed[info.id] = std::move(info);
        }
        m_loop.after(jittered(m_settings.round), [this] { pollInstanceList(); });
    });
}

// Queries draining and rebooting instances for their progress.
void Keeper::probeInstances()
{
    for (const auto& [id, record] : m_view.records) {
        const bool isDraining = record.phase == InstancePhase::Draining;
        if (!isDraining && record.phase != InstancePhase::Rebooting)
            continue;
        m_workers.queryHolder(record.endpoint, HolderId {}, [this, id = id, epoch = record.epoch](HolderResult result) {
            const auto found = m_view.records.find(id);
            if (found == m_view.records.end() || found->second.epoch != epoch)
                return;
            if (found->second.phase == InstancePhase::Rebooting) {
                if (result.isReachable)
                    m_view.healthy.insert(id);
                return;
            }
            const auto drain = m_drains.find(id);
            const bool isSettled
                = drain != m_drains.end() && m_loop.now() - drain->second.since > m_settings.drainSettle;
            if (result.isReachable && result.running == 0 && isSettled)
                m_view.drained.insert(id);
        });
    }
}

void Keeper::plan()
{
    m_view.spec = m_config.spec();
    m_view.outOfService.clear();
    for (const auto& [id, dataCenter] : m_view.spec->dataCenters) {
        if (m_config.isOutOfService(id))
            m_view.outOfService.insert(id);
    }
    updateBudgets();
    const auto changes = m_planner.plan(m_view);
    for (std::size_t i = 0; i < std::min(changes.size(), s_maxWritesPerCycle); ++i)
        write(changes[i]);
    m_view.healthy.clear();
}

void Keeper::updateBudgets()
{
    m_budgetMeter.account(m_loop.now(), *m_view.spec, FleetPlanner::poolStates(m_view));
    m_view.frozenPools = frozenPools(*m_view.spec, m_spentBudgets, s_budgetWindow);
}

// Adds the missed slot seconds to the budget records and reads the totals of all keepers. A keeper that is not the
// leader does not write.
void Keeper::syncBudgets()
{
    const auto pending = m_budgetMeter.pending();
    for (const auto& [service, amount] : pending) {
        if (isLeader())
            writeBudget(service, amount);
    }
    m_platform.range(keys::budgetPrefix, [this](RangeResult result) {
        if (result.status == StoreStatus::Ok) {
            m_spentBudgets.clear();
            for (const auto& value : result.values) {
                const auto record = decodeBudgetRecord(value.value);
                if (record.window == m_view.round)
                    m_spentBudgets[ServiceId(value.key.substr(keys::budgetPrefix.size()))] = record.missedSlotSeconds;
            }
        }
        m_loop.after(jittered(s_budgetPeriod), [this] { syncBudgets(); });
    });
}

void Keeper::writeBudget(const ServiceId& service, double amount)
{
    m_platform.read(keys::budget(service), [this, service, amount](ReadResult result) {
        if (result.status != StoreStatus::Ok && result.status != StoreStatus::Missing)
            return;
        BudgetRecord record;
        if (result.status == StoreStatus::Ok)
            record = decodeBudgetRecord(result.value.value);
        if (record.window != m_view.round)
            record = { m_view.round, 0 };
        record.missedSlotSeconds += amount;
        m_platform.write(
            keys::budget(service), encode(record), result.value.revision, [this, service, amount](WriteResult written) {
                // A write whose response was lost may be counted twice. This can overstate the spent budget but never
                // understate it.
                if (written.status == StoreStatus::Ok)
                    m_budgetMeter.subtractWritten(service, amount);
            });
    });
}

void Keeper::write(const InstanceChange& change)
{
    const auto revision = m_revisions.contains(change.next.id) ? m_revisions[change.next.id] : noRevision;
    ++m_changes[name(change.reason)];
    s_log.info("Changing the record of an instance.",
        { { "instance", change.next.id.value() }, { "pool", change.next.pool.value() },
            { "reason", name(change.reason) } });
    m_platform.write(keys::instance(change.next.id), encode(change.next), revision, [this, change](WriteResult result) {
        const bool isReboot = change.next.phase == InstancePhase::Rebooting;
        if (result.status == StoreStatus::Ok && isReboot)
            reboot(change.next);
    });
}

void Keeper::reboot(const InstanceRecord& record)
{
    m_workers.reboot(record.endpoint, [](bool) {});
}

void Keeper::answerStatus(HttpResponder& responder) const
{
    Json status { { "turn", m_isLeader }, { "changes", m_changes }, { "instances", m_view.records.size() } };
    status["budgets"] = Json::object();
    if (m_view.spec) {
        for (const auto& [id, service] : m_view.spec->services) {
            const auto spent = m_spentBudgets.find(id);
            const auto allowed = budgetAllowance(service, s_budgetWindow);
            status["budgets"][id.value()] = { { "allowed_slot_seconds", allowed },
                { "missed_slot_seconds", spent == m_spentBudgets.end() ? 0 : spent->second } };
        }
    }
    status["pools"] = Json::array();
    if (m_view.spec) {
        for (const auto& state : FleetPlanner::poolStates(m_view)) {
            status["pools"].push_back({ { "pool", state.pool.value() }, { "needed", state.needed },
                { "buffer", state.buffer }, { "serving", state.serving }, { "short", state.isBelowNeed() } });
        }
    }
    responder.send({ 200, status.dump(), "application/json", {} });
}

} // namespace marigoldlink
