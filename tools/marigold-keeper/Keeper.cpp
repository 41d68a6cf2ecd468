// Rounds of the keeper.
#include "Keeper.h"

#include "../common/Jitter.h"
#include "marigoldlink/Coordination/KeyRing.h"
#include "marigoldlink/Protocol/RecordCodec.h"
#include "marigoldlink/Support/Log.h"

#include <nlohmann/json.hpp>

namespace marigoldlink {

namespace {

    using Json = nlohmann::json;

    constexpr Log s_log("keeper");
    constexpr Duration s_retryDelay { 300 };
    constexpr std::size_t s_mostWritesPerRound = 64;
    constexpr Duration s_budgetPeriod { 5000 };
    // Budgets count for the time of one maintenance round.
    constexpr Duration s_budgetWindow = std::chrono::duration_cast<Duration>(std::chrono::days(49));
    const std::string s_turnKey = "keeper/turn";

} // namespace

Keeper::Keeper(EventLoop& loop, KeeperSettings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_client(loop)
    , m_platform(m_client, m_settings.platform)
    , m_workers(m_client)
    , m_freshness({})
    , m_config(loop, m_platform, m_freshness)
    , m_server(loop, {},
          [this](const HttpRequest& request, HttpResponderPtr responder) {
              if (request.path == "/healthz")
                  responder->send({ 200, "ready", "text/plain", {} });
              else if (request.path == "/status")
                  answerStatus(*responder);
              else
                  responder->send({ 404, "no such path", "text/plain", {} });
          })
    , m_planner({ static_cast<std::size_t>(m_settings.waveWidth), 0.1, 1 })
    , m_name(createKey().grant.id.value())
{
    m_view.round = static_cast<std::uint64_t>(m_settings.maintenanceRound);
}

Endpoint Keeper::start()
{
    auto endpoint = m_server.listen(m_settings.listen);
    m_config.start();
    readRecords();
    readList();
    readBudgets();
    round();
    return endpoint;
}

void Keeper::round()
{
    takeTurn();
    if (hasTurn() && m_config.text()) {
        probe();
        plan();
    }
    m_loop.after(jittered(m_settings.round), [this] { round(); });
}

bool Keeper::hasTurn() const { return m_hasTurn; }

// Renews the turn by compare-and-swap, or takes it over when its value did not change for a whole turn time.
void Keeper::takeTurn()
{
    m_platform.read(s_turnKey, [this](ReadResult result) {
        if (result.status != StoreStatus::Ok && result.status != StoreStatus::Missing) {
            m_hasTurn = false;
            return;
        }
        const auto now = m_loop.now();
        if (result.value.value != m_turnSeen || result.status == StoreStatus::Missing) {
            m_turnSeen = result.value.value;
            m_turnSeenAt = now;
        }
        const bool isMine = m_turnSeen.starts_with(m_name + " ");
        const bool isFree = result.status == StoreStatus::Missing || now - m_turnSeenAt > m_settings.turn;
        if (!isMine && !isFree) {
            m_hasTurn = false;
            return;
        }
        const auto value = m_name + " " + std::to_string(++m_turnCount);
        m_platform.write(s_turnKey, value, result.value.revision,
            [this](WriteResult written) { m_hasTurn = written.status == StoreStatus::Ok; });
    });
}

void Keeper::readRecords()
{
    m_platform.watch(keys::instancePrefix, m_watchedTo, [this](RangeResult result) {
        if (result.status != StoreStatus::Ok) {
            m_loop.after(jittered(s_retryDelay), [this] { readRecords(); });
            return;
        }
        m_watchedTo = result.revision < m_watchedTo ? noRevision : result.revision;
        for (const auto& value : result.values) {
            const auto record = decodeInstanceRecord(value.value);
            m_view.records[record.id] = record;
            m_revisions[record.id] = value.revision;
        }
        noteDrains();
        readRecords();
    });
}

void Keeper::noteDrains()
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

void Keeper::readList()
{
    m_platform.instances([this](InstanceListResult result) {
        if (result.status == StoreStatus::Ok) {
            m_view.listed.clear();
            for (auto& info : result.instances)
                m_view.listed[info.id] = std::move(info);
        }
        m_loop.after(jittered(m_settings.round), [this] { readList(); });
    });
}

// Asks draining and rebooting instances how far they are.
void Keeper::probe()
{
    for (const auto& [id, record] : m_view.records) {
        const bool isDraining = record.phase == InstancePhase::Draining;
        if (!isDraining && record.phase != InstancePhase::Rebooting)
            continue;
        m_workers.leasesOf(record.endpoint, HolderId {}, [this, id = id, epoch = record.epoch](HolderResult result) {
            const auto found = m_view.records.find(id);
            if (found == m_view.records.end() || found->second.epoch != epoch)
                return;
            if (found->second.phase == InstancePhase::Rebooting) {
                if (result.reached)
                    m_view.healthy.insert(id);
                return;
            }
            const auto drain = m_drains.find(id);
            const bool isSettled
                = drain != m_drains.end() && m_loop.now() - drain->second.since > m_settings.drainSettle;
            if (result.reached && result.running == 0 && isSettled)
                m_view.drained.insert(id);
        });
    }
}

void Keeper::plan()
{
    m_view.text = m_config.text();
    m_view.out.clear();
    for (const auto& [id, dataCenter] : m_view.text->dataCenters) {
        if (m_config.isOut(id))
            m_view.out.insert(id);
    }
    accountBudgets();
    const auto changes = m_planner.plan(m_view);
    for (std::size_t i = 0; i < std::min(changes.size(), s_mostWritesPerRound); ++i)
        write(changes[i]);
    m_view.healthy.clear();
}

void Keeper::accountBudgets()
{
    m_meter.account(m_loop.now(), *m_view.text, FleetPlanner::poolStates(m_view));
    m_view.frozen = frozenPools(*m_view.text, m_spent, s_budgetWindow);
}

// Writes what was missed and reads what all keepers counted. A keeper that lost its turn writes nothing more.
void Keeper::readBudgets()
{
    const auto pending = m_meter.pending();
    for (const auto& [service, amount] : pending) {
        if (hasTurn())
            writeBudget(service, amount);
    }
    m_platform.range(keys::budgetPrefix, [this](RangeResult result) {
        if (result.status == StoreStatus::Ok) {
            m_spent.clear();
            for (const auto& value : result.values) {
                const auto record = decodeBudgetRecord(value.value);
                if (record.window == m_view.round)
                    m_spent[ServiceId(value.key.substr(keys::budgetPrefix.size()))] = record.missedSlotSeconds;
            }
        }
        m_loop.after(jittered(s_budgetPeriod), [this] { readBudgets(); });
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
                // A write whose answer is lost may count twice, which spends too much and never too little.
                if (written.status == StoreStatus::Ok)
                    m_meter.settle(service, amount);
            });
    });
}

void Keeper::write(const InstanceChange& change)
{
    const auto revision = m_revisions.contains(change.next.id) ? m_revisions[change.next.id] : noRevision;
    ++m_changes[name(change.reason)];
    s_log.info("Changing an instance.",
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
    Json status { { "turn", m_hasTurn }, { "changes", m_changes }, { "instances", m_view.records.size() } };
    status["budgets"] = Json::object();
    if (m_view.text) {
        for (const auto& [id, service] : m_view.text->services) {
            const auto spent = m_spent.find(id);
            const auto allowed = budgetAllowance(service, s_budgetWindow);
            status["budgets"][id.value()] = { { "allowed_slot_seconds", allowed },
                { "missed_slot_seconds", spent == m_spent.end() ? 0 : spent->second } };
        }
    }
    status["pools"] = Json::array();
    if (m_view.text) {
        for (const auto& state : FleetPlanner::poolStates(m_view)) {
            status["pools"].push_back({ { "pool", state.pool.value() }, { "needed", state.needed },
                { "buffer", state.buffer }, { "serving", state.serving }, { "short", state.isShort() } });
        }
    }
    responder.send({ 200, status.dump(), "application/json", {} });
}

} // namespace marigoldlink
