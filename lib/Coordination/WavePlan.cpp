// Choice of the next instances of each wave.
#include "marigoldlink/Coordination/WavePlan.h"

#include <algorithm>
#include <utility>

namespace marigoldlink {

namespace {

    // Wait after a rejected call; the instance list that explains it is a little old.
    constexpr Duration s_retryDelay { 500 };
    // The instance list may lag behind an accepted call by this much.
    constexpr Duration s_listLag { 300 };

} // namespace

void WavePlan::setWaves(const std::map<WaveId, MaintenanceWave>& waves)
{
    for (auto& [id, state] : m_waves)
        state.isKnown = waves.contains(id);
    for (const auto& [id, wave] : waves) {
        auto& state = m_waves[id];
        state.isChanged |= !state.isKnown;
        state.isKnown = true;
        state.wave = wave;
    }
}

void WavePlan::restore(const WaveId& id, std::set<std::string> finished) { m_waves[id].finished = std::move(finished); }

int WavePlan::awayIn(const WaveState& state) const
{
    return static_cast<int>(std::count_if(state.wave.instances.begin(), state.wave.instances.end(),
        [this](const std::string& instance) { return m_away.contains(instance); }));
}

void WavePlan::settle(WaveState& state, const std::map<std::string, FleetInstance>& instances)
{
    for (const auto& instance : state.wave.instances) {
        if (instances.contains(instance) || state.finished.contains(instance))
            continue;
        state.finished.insert(instance);
        state.isChanged = true;
    }
    const bool isComplete = std::all_of(state.wave.instances.begin(), state.wave.instances.end(),
        [&](const std::string& instance) { return state.finished.contains(instance) && !m_away.contains(instance); });
    if (isComplete && !state.isComplete) {
        state.isComplete = true;
        state.isChanged = true;
    }
}

std::vector<WaveStep> WavePlan::plan(
    const std::map<std::string, FleetInstance>& instances, const LoadOf& loadOf, TimePoint now)
{
    std::vector<WaveStep> steps;
    m_reserved.clear();
    if (instances.empty())
        return steps;
    std::erase_if(m_away, [&](const auto& entry) {
        const auto found = instances.find(entry.first);
        if (found == instances.end())
            return true;
        return entry.second.isAccepted && now - entry.second.since > m_limits.away + s_listLag
            && found->second.state == InstanceState::Up;
    });
    for (auto& [id, state] : m_waves) {
        if (!state.isKnown || state.isComplete)
            continue;
        settle(state, instances);
        struct Waiting {
            std::string instance;
            WaveLoad load;
            bool wasReserved;
        };
        std::vector<Waiting> waiting;
        for (const auto& instance : state.wave.instances) {
            const auto found = instances.find(instance);
            if (const auto away = m_away.find(instance);
                away != m_away.end() && away->second.repeatAt && *away->second.repeatAt <= now)
                steps.push_back({ id, state.wave.number, instance });
            if (state.finished.contains(instance) || m_away.contains(instance) || found == instances.end()
                || found->second.state != InstanceState::Up)
                continue;
            const auto notBefore = m_notBefore.find(instance);
            if (notBefore != m_notBefore.end() && notBefore->second > now)
                continue;
            waiting.push_back({ instance, loadOf(instance), m_reservedSince.contains(instance) });
        }
        std::stable_sort(waiting.begin(), waiting.end(), [](const Waiting& left, const Waiting& right) {
            return std::tuple(!left.load.isIdle(), !left.wasReserved, left.load.services + left.load.tasks)
                < std::tuple(!right.load.isIdle(), !right.wasReserved, right.load.services + right.load.tasks);
        });
        auto free = state.wave.mostAtOnce - awayIn(state);
        for (const auto& [instance, load, wasReserved] : waiting) {
            if (free <= 0)
                break;
            --free;
            m_reserved.insert(instance);
            const auto since = m_reservedSince.emplace(instance, now).first->second;
            const bool isPatient = now - since < m_limits.patience;
            if (!load.mayEndServices || (load.tasks > 0 && isPatient))
                continue;
            steps.push_back({ id, state.wave.number, instance });
        }
    }
    std::erase_if(m_reservedSince, [this](const auto& entry) { return !m_reserved.contains(entry.first); });
    return steps;
}

void WavePlan::begun(const WaveId&, const std::string& instance, TimePoint now)
{
    // A repeated call counts from the first one that had no answer.
    auto& away = m_away[instance];
    if (!away.isUncertain)
        away.since = now;
    away.repeatAt.reset();
    m_reservedSince.erase(instance);
}

void WavePlan::accepted(const std::string& instance, TimePoint now)
{
    m_away[instance] = { now, true, false, std::nullopt };
    for (auto& [id, state] : m_waves) {
        if (!state.isKnown || state.isComplete)
            continue;
        if (std::find(state.wave.instances.begin(), state.wave.instances.end(), instance) == state.wave.instances.end())
            continue;
        state.finished.insert(instance);
        state.isChanged = true;
    }
}

void WavePlan::rejected(const std::string& instance, TimePoint now)
{
    const auto away = m_away.find(instance);
    const bool mayBeAway
        = away != m_away.end() && away->second.isUncertain && now - away->second.since < m_limits.away + s_listLag;
    if (mayBeAway) {
        // An earlier call had no answer, and this one does not tell what became of it.
        away->second.repeatAt = now + s_retryDelay;
        return;
    }
    m_away.erase(instance);
    m_notBefore[instance] = now + s_retryDelay;
}

void WavePlan::unanswered(const std::string& instance, TimePoint now)
{
    auto& away = m_away[instance];
    away.repeatAt = now + s_retryDelay;
    away.isUncertain = true;
}

bool WavePlan::hasWork() const
{
    return std::any_of(m_waves.begin(), m_waves.end(),
        [](const auto& entry) { return entry.second.isKnown && !entry.second.isComplete; });
}

bool WavePlan::isDue(const std::string& instance) const
{
    return std::any_of(m_waves.begin(), m_waves.end(), [&instance](const auto& entry) {
        const auto& state = entry.second;
        return state.isKnown && !state.isComplete && !state.finished.contains(instance)
            && std::find(state.wave.instances.begin(), state.wave.instances.end(), instance)
            != state.wave.instances.end();
    });
}

std::vector<WavePlan::Change> WavePlan::takeChanges()
{
    std::vector<Change> changes;
    for (auto& [id, state] : m_waves) {
        if (!state.isKnown || !std::exchange(state.isChanged, false))
            continue;
        changes.push_back({ id, state.finished, state.isComplete });
    }
    return changes;
}

} // namespace marigoldlink
