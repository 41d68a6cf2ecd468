// Selection of the next instances of each wave, and tracking of the calls.
#include "marigoldlink/Coordination/MaintenancePlanner.h"

#include <algorithm>
#include <utility>

namespace marigoldlink {

namespace {

    // Delay after a rejected call, since the instance list that would explain the rejection lags behind.
    constexpr Duration s_retryDelay { 500 };
    // Maximum time by which the instance list lags behind an accepted call.
    constexpr Duration s_listLag { 300 };
    // An instance that is left out by each list over this time is gone. Longer than a list can be old.
    constexpr Duration s_goneAfter { 2000 };
    // Least number of these lists, as readings of the list may fail for longer.
    constexpr int s_goneAfterLists = 3;

} // namespace

void MaintenancePlanner::setWaves(const std::map<WaveId, MaintenanceWave>& waves)
{
    for (auto& [id, state] : m_waves)
        state.isRequested = waves.contains(id);
    for (const auto& [id, wave] : waves) {
        auto& state = m_waves[id];
        state.hasChanged |= !state.isRequested;
        state.isRequested = true;
        state.wave = wave;
    }
}

void MaintenancePlanner::restore(const WaveId& id, std::set<std::string> finished)
{
    m_waves[id].finished = std::move(finished);
}

int MaintenancePlanner::countUnderMaintenance(const WaveState& state) const
{
    return static_cast<int>(std::count_if(state.wave.instances.begin(), state.wave.instances.end(),
        [this](const std::string& instance) { return m_underMaintenance.contains(instance); }));
}

bool MaintenancePlanner::isUnderMaintenanceFor(const WaveId& id, const std::string& instance) const
{
    const auto call = m_underMaintenance.find(instance);
    return call != m_underMaintenance.end() && call->second.wave == id;
}

bool MaintenancePlanner::hasEnded(const MaintenanceCall& call, TimePoint now) const
{
    const auto longestEffect = m_limits.maintenanceDuration + s_listLag;
    if (call.isAccepted)
        return now - call.sentAt > longestEffect;
    // A call of a wave that operators have withdrawn is not repeated, so its outcome stays unknown.
    const auto wave = m_waves.find(call.wave);
    const bool isWithdrawn = wave == m_waves.end() || !wave->second.isRequested;
    return isWithdrawn && call.unansweredSentAt && now - *call.unansweredSentAt > longestEffect;
}

bool MaintenancePlanner::isGone(const MaintenanceCall& call, const std::string& instance) const
{
    const auto wave = m_waves.find(call.wave);
    if (wave == m_waves.end() || wave->second.gone.contains(instance))
        return true;
    const auto& listed = wave->second.wave.instances;
    return std::find(listed.begin(), listed.end(), instance) == listed.end();
}

void MaintenancePlanner::instancesListed(const std::map<std::string, FleetInstance>& instances, TimePoint askedAt)
{
    for (auto& [id, state] : m_waves) {
        state.gone.clear();
        if (!state.isRequested || state.isComplete) {
            state.missing.clear();
            continue;
        }
        for (const auto& instance : state.wave.instances) {
            if (instances.contains(instance)) {
                state.missing.erase(instance);
                continue;
            }
            auto& absence = state.missing.try_emplace(instance, Absence { askedAt }).first->second;
            ++absence.lists;
            if (askedAt - absence.since >= s_goneAfter && absence.lists >= s_goneAfterLists)
                state.gone.insert(instance);
        }
    }
}

void MaintenancePlanner::updateCompletion(const WaveId& id, WaveState& state)
{
    const bool isComplete
        = std::all_of(state.wave.instances.begin(), state.wave.instances.end(), [&](const std::string& instance) {
              return (state.finished.contains(instance) || state.gone.contains(instance))
                  && !isUnderMaintenanceFor(id, instance);
          });
    if (isComplete && !state.isComplete) {
        state.isComplete = true;
        state.hasChanged = true;
    }
}

std::vector<MaintenanceStep> MaintenancePlanner::plan(const std::map<std::string, FleetInstance>& instances,
    const LoadOf& loadOf, TimePoint now, const CanDrain& canDrain)
{
    std::vector<MaintenanceStep> steps;
    m_reserved.clear();
    const auto wereDraining = std::exchange(m_draining, {});
    if (instances.empty())
        return steps;
    std::erase_if(m_underMaintenance, [&](const auto& entry) {
        const auto found = instances.find(entry.first);
        // An accepted call has an end of its own. Until then the instance may be down and come back.
        if (found == instances.end())
            return hasEnded(entry.second, now) || (!entry.second.isAccepted && isGone(entry.second, entry.first));
        return found->second.state == InstanceState::Up && hasEnded(entry.second, now);
    });
    for (auto& [id, state] : m_waves) {
        if (!state.isRequested || state.isComplete)
            continue;
        updateCompletion(id, state);
        struct Waiting {
            std::string instance;
            InstanceLoad load;
            bool wasDraining;
        };
        std::vector<Waiting> waiting;
        for (const auto& instance : state.wave.instances) {
            const auto found = instances.find(instance);
            if (const auto call = m_underMaintenance.find(instance); call != m_underMaintenance.end()
                && call->second.wave == id && call->second.retryAt && *call->second.retryAt <= now
                && found != instances.end())
                steps.push_back({ id, state.wave.number, instance });
            if (state.finished.contains(instance) || m_underMaintenance.contains(instance) || found == instances.end()
                || found->second.state != InstanceState::Up)
                continue;
            const auto retryNotBefore = m_retryNotBefore.find(instance);
            if (retryNotBefore != m_retryNotBefore.end() && retryNotBefore->second > now)
                continue;
            waiting.push_back({ instance, loadOf(instance), wereDraining.contains(instance) });
        }
        std::stable_sort(waiting.begin(), waiting.end(), [](const Waiting& left, const Waiting& right) {
            return std::tuple(!left.load.isIdle(), !left.wasDraining, left.load.services + left.load.tasks)
                < std::tuple(!right.load.isIdle(), !right.wasDraining, right.load.services + right.load.tasks);
        });
        auto free = state.wave.maxConcurrent - countUnderMaintenance(state);
        std::vector<std::string> stalled;
        for (const auto& [instance, load, wasDraining] : waiting) {
            if (free <= 0)
                break;
            if (!load.mayStopServices && !canDrain(instance)) {
                stalled.push_back(instance);
                continue;
            }
            --free;
            m_reserved.insert(instance);
            m_draining.insert(instance);
            const auto reservedSince = m_reservedSince.emplace(instance, now).first->second;
            const bool isWithinDrainTimeout = now - reservedSince < m_limits.drainTimeout;
            if (!load.mayStopServices || (load.tasks > 0 && isWithinDrainTimeout))
                continue;
            steps.push_back({ id, state.wave.number, instance });
        }
        for (const auto& instance : stalled) {
            if (free-- <= 0)
                break;
            m_reserved.insert(instance);
            m_reservedSince.insert_or_assign(instance, now); // the drain timeout starts once it can drain
        }
    }
    std::erase_if(m_reservedSince, [this](const auto& entry) { return !m_reserved.contains(entry.first); });
    return steps;
}

void MaintenancePlanner::callSent(const WaveId& wave, const std::string& instance, TimePoint now)
{
    auto& call = m_underMaintenance[instance];
    call.wave = wave;
    call.sentAt = now;
    call.retryAt.reset();
    m_reservedSince.erase(instance);
}

void MaintenancePlanner::callAccepted(const WaveId& wave, const std::string& instance, TimePoint now)
{
    m_underMaintenance[instance] = { wave, now, true, std::nullopt, std::nullopt };
    const auto found = m_waves.find(wave);
    if (found == m_waves.end() || found->second.isComplete)
        return;
    found->second.finished.insert(instance);
    found->second.hasChanged = true;
}

void MaintenancePlanner::callRejected(const std::string& instance, TimePoint now)
{
    const auto call = m_underMaintenance.find(instance);
    const bool mayBeUnderMaintenance = call != m_underMaintenance.end() && call->second.unansweredSentAt
        && now - *call->second.unansweredSentAt < m_limits.maintenanceDuration + s_listLag;
    if (mayBeUnderMaintenance) {
        // An earlier call had no answer, and this rejection does not show whether that one was carried out.
        call->second.retryAt = now + s_retryDelay;
        return;
    }
    m_underMaintenance.erase(instance);
    m_retryNotBefore[instance] = now + s_retryDelay;
}

void MaintenancePlanner::callUnanswered(const WaveId& wave, const std::string& instance, TimePoint now)
{
    auto& call = m_underMaintenance[instance];
    call.wave = wave;
    call.retryAt = now + s_retryDelay;
    call.unansweredSentAt = call.sentAt;
}

bool MaintenancePlanner::hasWork() const
{
    return std::any_of(m_waves.begin(), m_waves.end(),
        [](const auto& entry) { return entry.second.isRequested && !entry.second.isComplete; });
}

std::unordered_set<std::string> MaintenancePlanner::dueInstances() const
{
    std::unordered_set<std::string> due;
    for (const auto& [id, state] : m_waves) {
        if (!state.isRequested || state.isComplete)
            continue;
        for (const auto& instance : state.wave.instances) {
            if (!state.finished.contains(instance))
                due.insert(instance);
        }
    }
    return due;
}

std::vector<MaintenancePlanner::Change> MaintenancePlanner::takeChanges()
{
    std::vector<Change> changes;
    for (auto& [id, state] : m_waves) {
        if (!state.isRequested || !std::exchange(state.hasChanged, false))
            continue;
        changes.push_back({ id, state.finished, state.isComplete });
    }
    return changes;
}

} // namespace marigoldlink
