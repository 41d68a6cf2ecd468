// One planning cycle over the instances of the fleet.
#include "marigoldlink/Coordination/FleetPlanner.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace marigoldlink {

namespace {

    // Slots by pool, data centre and rack, updated while the planning cycle changes records.
    class CapacityTotals {
    public:
        CapacityTotals(const FleetView& view, const PlannerLimits& limits)
            : m_view(view)
            , m_limits(limits)
        {
            for (const auto& [id, pool] : view.spec->pools)
                m_states[id].pool = id;
            for (const auto& [id, service] : view.spec->services)
                m_states[service.pool].needed += service.peakSlots;
            for (const auto& [id, record] : view.records)
                add(record, 1);
        }

        bool isServing(const InstanceRecord& record) const
        {
            const auto listed = m_view.listed.find(record.id);
            return record.phase == InstancePhase::Active && listed != m_view.listed.end() && !listed->second.isLeaving
                && !m_view.outOfService.contains(record.dataCenter);
        }

        void add(const InstanceRecord& record, int sign)
        {
            const auto slots = sign * record.slots;
            if (isServing(record)) {
                m_states[record.pool].serving += slots;
                m_byDataCenter[{ record.pool, record.dataCenter }] += slots;
                m_byRack[{ record.pool, record.rack }] += slots;
            } else if (record.phase == InstancePhase::Draining && !record.nextPool.empty()) {
                m_states[record.nextPool].arriving += slots;
            } else if (record.phase == InstancePhase::Draining || record.phase == InstancePhase::Rebooting) {
                m_states[record.pool].returning += slots;
            }
            auto& counts = m_counts[record.pool];
            counts.instances += sign;
            counts.largest = std::max(counts.largest, record.slots);
            if (record.maintainedRound < m_view.round)
                counts.waiting += sign;
        }

        // Number of instances of the pool that may be in maintenance at once.
        std::size_t waveWidth(const PoolId& pool) const
        {
            const auto found = m_counts.find(pool);
            if (found == m_counts.end())
                return 0;
            const auto fractionLimit = static_cast<std::size_t>(std::ceil(
                m_limits.waveFraction * static_cast<double>(std::max<std::int64_t>(0, found->second.instances))));
            return std::min(m_limits.waveWidth, fractionLimit);
        }

        PoolState state(const PoolId& pool) const
        {
            auto state = m_states.at(pool);
            for (auto it = m_byRack.lower_bound({ pool, RackId() }); it != m_byRack.end() && it->first.first == pool;
                 ++it)
                state.buffer = std::max(state.buffer, it->second);
            const auto counts = m_counts.find(pool);
            if (counts != m_counts.end() && counts->second.waiting > 0 && state.needed > 0)
                state.wave = static_cast<Slots>(waveWidth(pool)) * counts->second.largest;
            return state;
        }

        Slots inDataCenter(const PoolId& pool, const DataCenterId& dataCenter) const
        {
            const auto found = m_byDataCenter.find({ pool, dataCenter });
            return found == m_byDataCenter.end() ? 0 : found->second;
        }

        Slots inRack(const PoolId& pool, const RackId& rack) const
        {
            const auto found = m_byRack.find({ pool, rack });
            return found == m_byRack.end() ? 0 : found->second;
        }

        const std::map<PoolId, PoolState>& states() const { return m_states; }

    private:
        struct InstanceCounts {
            std::int64_t instances { 0 };
            std::int64_t waiting { 0 }; // for maintenance
            Slots largest { 0 };
        };

        const FleetView& m_view;
        const PlannerLimits& m_limits;
        std::map<PoolId, InstanceCounts> m_counts;
        std::map<PoolId, PoolState> m_states;
        std::map<std::pair<PoolId, DataCenterId>, Slots> m_byDataCenter;
        std::map<std::pair<PoolId, RackId>, Slots> m_byRack;
    };

    class PlanningCycle {
    public:
        PlanningCycle(const FleetView& view, const PlannerLimits& limits)
            : m_view(view)
            , m_limits(limits)
            , m_totals(view, limits)
            , m_records(view.records)
        {
            if (const auto* spare = view.spec->sparePool())
                m_spare = spare->id;
            for (const auto& [id, record] : m_records) {
                m_byPool[record.pool].push_back(id);
                if (!m_spare.empty() && record.pool == m_spare && m_totals.isServing(record))
                    m_spareInstances.insert(id);
            }
        }

        std::vector<InstanceChange> run()
        {
            endDrains();
            endReboots();
            assignNewInstances();
            coverDeficits();
            returnSurplus();
            startMaintenance();
            return std::move(m_changes);
        }

    private:
        void change(InstanceRecord next, ChangeReason reason)
        {
            const auto found = m_records.find(next.id);
            if (found != m_records.end())
                m_totals.add(found->second, -1);
            ++next.epoch;
            m_totals.add(next, 1);
            const bool isSpare = !m_spare.empty() && next.pool == m_spare && m_totals.isServing(next);
            if (isSpare)
                m_spareInstances.insert(next.id);
            else
                m_spareInstances.erase(next.id);
            m_records[next.id] = next;
            m_changed.insert(next.id);
            m_changes.push_back({ std::move(next), reason });
        }

        bool isRegular(const PoolId& pool) const { return pool != m_spare; }

        // Slots missing to the target, after those that are arriving or returning.
        Slots deficit(const PoolId& pool) const
        {
            const auto state = m_totals.state(pool);
            if (state.needed == 0)
                return 0;
            // The wave slots replace instances in maintenance. Beyond them, such instances count as missing.
            const auto returning = std::min(state.returning, state.wave);
            return std::max<Slots>(state.target(), state.needed + 1) - state.serving - state.arriving - returning;
        }

        void endDrains()
        {
            for (const auto& [id, record] : m_view.records) {
                if (record.phase != InstancePhase::Draining || !m_view.drained.contains(id))
                    continue;
                auto next = record;
                if (record.nextPool.empty()) {
                    next.phase = InstancePhase::Rebooting;
                } else {
                    next.phase = InstancePhase::Active;
                    next.pool = record.nextPool;
                    next.nextPool = PoolId();
                }
                change(std::move(next), ChangeReason::Drained);
            }
        }

        void endReboots()
        {
            for (const auto& [id, record] : m_view.records) {
                if (record.phase != InstancePhase::Rebooting || !m_view.healthy.contains(id))
                    continue;
                auto next = record;
                next.phase = InstancePhase::Active;
                next.maintainedRound = m_view.round;
                change(std::move(next), ChangeReason::Rebooted);
            }
        }

        void assignNewInstances()
        {
            for (const auto& [id, info] : m_view.listed) {
                if (m_records.contains(id) || info.isLeaving)
                    continue;
                InstanceRecord next;
                next.id = id;
                next.dataCenter = info.dataCenter;
                next.rack = info.rack;
                next.endpoint = info.endpoint;
                next.slots = info.slots;
                next.maintainedRound = m_view.round;
                next.pool = firstPool(info);
                if (!next.pool.empty())
                    change(std::move(next), ChangeReason::Discovered);
            }
        }

        // Returns the pool with the largest deficit relative to its need, preferring pools with few slots in the data
        // centre and rack of the instance. Without a deficit returns the spare pool, or the first pool if there is
        // none.
        PoolId firstPool(const ListedInstance& info) const
        {
            PoolId best = m_spare;
            double bestScore = 0;
            for (const auto& [pool, state] : m_totals.states()) {
                const auto missing = deficit(pool);
                if (!isRegular(pool) || missing <= 0)
                    continue;
                const auto score = static_cast<double>(missing) / static_cast<double>(state.needed)
                    - 1e-3 * static_cast<double>(m_totals.inDataCenter(pool, info.dataCenter))
                    - 1e-2 * static_cast<double>(m_totals.inRack(pool, info.rack));
                if (best != m_spare && score <= bestScore)
                    continue;
                best = pool;
                bestScore = score;
            }
            if (best.empty() && !m_totals.states().empty())
                best = m_totals.states().begin()->first;
            return best;
        }

        void coverDeficits()
        {
            for (const auto& [pool, state] : m_totals.states()) {
                while (isRegular(pool) && deficit(pool) > 0) {
                    const auto* donor = chooseSpare(pool);
                    if (!donor)
                        break;
                    auto next = *donor;
                    next.phase = InstancePhase::Draining;
                    next.nextPool = pool;
                    change(std::move(next), ChangeReason::Deficit);
                }
            }
        }

        const InstanceRecord* chooseSpare(const PoolId& pool) const
        {
            const InstanceRecord* best = nullptr;
            std::pair<Slots, Slots> bestScore;
            for (const auto& id : m_spareInstances) {
                if (m_changed.contains(id))
                    continue;
                const auto& record = m_records.at(id);
                const std::pair score { m_totals.inDataCenter(pool, record.dataCenter),
                    m_totals.inRack(pool, record.rack) };
                if (best && score >= bestScore)
                    continue;
                best = &record;
                bestScore = score;
            }
            return best;
        }

        void returnSurplus()
        {
            if (m_spare.empty())
                return;
            for (const auto& [pool, unused] : m_totals.states()) {
                while (isRegular(pool)) {
                    const auto* record = chooseSurplus(pool);
                    if (!record)
                        break;
                    auto next = *record;
                    next.phase = InstancePhase::Draining;
                    next.nextPool = m_spare;
                    change(std::move(next), ChangeReason::Surplus);
                }
            }
        }

        // Returns the surplus instance whose removal keeps the pool best spread over racks and data centres, or null.
        const InstanceRecord* chooseSurplus(const PoolId& pool) const
        {
            const auto state = m_totals.state(pool);
            if (state.arriving > 0)
                return nullptr;
            const InstanceRecord* best = nullptr;
            std::pair<Slots, Slots> bestScore;
            for (const auto& id : instancesOf(pool)) {
                const auto& record = m_records.at(id);
                if (m_changed.contains(id) || record.pool != pool || !m_totals.isServing(record))
                    continue;
                // One instance above the target is kept, so that an instance does not move back and forth.
                if (state.serving - record.slots < state.target() + record.slots)
                    continue;
                const std::pair score { m_totals.inRack(pool, record.rack),
                    m_totals.inDataCenter(pool, record.dataCenter) };
                if (best && score <= bestScore)
                    continue;
                best = &record;
                bestScore = score;
            }
            return best;
        }

        const std::vector<InstanceId>& instancesOf(const PoolId& pool) const
        {
            static const std::vector<InstanceId> none;
            const auto found = m_byPool.find(pool);
            return found == m_byPool.end() ? none : found->second;
        }

        void startMaintenance()
        {
            std::size_t maintained = 0;
            std::size_t inMaintenanceTotal = 0;
            std::map<PoolId, std::size_t> inMaintenance;
            for (const auto& [id, record] : m_records) {
                maintained += record.phase == InstancePhase::Active && record.maintainedRound >= m_view.round;
                if (record.phase == InstancePhase::Rebooting
                    || (record.phase == InstancePhase::Draining && record.nextPool.empty())) {
                    ++inMaintenance[record.pool];
                    ++inMaintenanceTotal;
                }
            }
            const auto maxInMaintenance = std::max(m_limits.canaries, maintained);
            for (const auto& [id, record] : m_view.records) {
                if (record.maintainedRound >= m_view.round || m_changed.contains(id) || !m_totals.isServing(record))
                    continue;
                if (m_view.frozenPools.contains(record.pool))
                    continue;
                if (inMaintenanceTotal >= maxInMaintenance)
                    return;
                if (inMaintenance[record.pool] >= m_totals.waveWidth(record.pool) || !canDrain(record))
                    continue;
                ++inMaintenance[record.pool];
                ++inMaintenanceTotal;
                auto next = record;
                next.phase = InstancePhase::Draining;
                next.nextPool = PoolId();
                change(std::move(next), ChangeReason::Maintenance);
            }
        }

        // Whether the pool covers its need without the instance and without its largest rack.
        bool canDrain(const InstanceRecord& record)
        {
            m_totals.add(record, -1);
            const auto state = m_totals.state(record.pool);
            m_totals.add(record, 1);
            return state.serving - state.buffer >= state.needed;
        }

        const FleetView& m_view;
        const PlannerLimits& m_limits;
        CapacityTotals m_totals;
        // Invariant: the records as they will be after the changes of this cycle.
        std::map<InstanceId, InstanceRecord> m_records;
        PoolId m_spare;
        std::set<InstanceId> m_spareInstances;
        std::map<PoolId, std::vector<InstanceId>> m_byPool; // as at the start of the cycle
        std::set<InstanceId> m_changed;
        std::vector<InstanceChange> m_changes;
    };

} // namespace

const char* name(ChangeReason reason)
{
    switch (reason) {
    case ChangeReason::Discovered:
        return "discovered";
    case ChangeReason::Deficit:
        return "deficit";
    case ChangeReason::Surplus:
        return "surplus";
    case ChangeReason::Maintenance:
        return "maintenance";
    case ChangeReason::Drained:
        return "drained";
    case ChangeReason::Rebooted:
        return "rebooted";
    }
    return "unknown";
}

std::vector<InstanceChange> FleetPlanner::plan(const FleetView& view) const
{
    assert(view.spec && "a planning cycle needs a fleet specification");
    return PlanningCycle(view, m_limits).run();
}

std::vector<PoolState> FleetPlanner::poolStates(const FleetView& view)
{
    const PlannerLimits limits;
    const CapacityTotals totals(view, limits);
    std::vector<PoolState> states;
    for (const auto& [pool, state] : totals.states())
        states.push_back(totals.state(pool));
    return states;
}

} // namespace marigoldlink
