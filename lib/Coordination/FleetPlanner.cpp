// One planning round over the instances of the fleet.
#include "marigoldlink/Coordination/FleetPlanner.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace marigoldlink {

namespace {

    // Slots by pool, data centre and rack, kept up to date while the round changes records.
    class Tally {
    public:
        Tally(const FleetView& view, const PlannerLimits& limits)
            : m_view(view)
            , m_limits(limits)
        {
            for (const auto& [id, pool] : view.text->pools)
                m_states[id].pool = id;
            for (const auto& [id, service] : view.text->services)
                m_states[service.pool].needed += service.needSlots;
            for (const auto& [id, record] : view.records)
                add(record, 1);
        }

        bool isServing(const InstanceRecord& record) const
        {
            const auto listed = m_view.listed.find(record.id);
            return record.phase == InstancePhase::Active && listed != m_view.listed.end() && !listed->second.isLeaving
                && !m_view.out.contains(record.dataCenter);
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
            auto& census = m_census[record.pool];
            census.instances += sign;
            census.largest = std::max(census.largest, record.slots);
            if (record.maintainedRound < m_view.round)
                census.waiting += sign;
        }

        // Instances of the pool that may be out for maintenance at once.
        std::size_t waveWidth(const PoolId& pool) const
        {
            const auto found = m_census.find(pool);
            if (found == m_census.end())
                return 0;
            const auto part = static_cast<std::size_t>(
                std::ceil(m_limits.wavePart * static_cast<double>(std::max<std::int64_t>(0, found->second.instances))));
            return std::min(m_limits.waveWidth, part);
        }

        PoolState state(const PoolId& pool) const
        {
            auto state = m_states.at(pool);
            for (auto it = m_byRack.lower_bound({ pool, RackId() }); it != m_byRack.end() && it->first.first == pool;
                 ++it)
                state.buffer = std::max(state.buffer, it->second);
            const auto census = m_census.find(pool);
            if (census != m_census.end() && census->second.waiting > 0 && state.needed > 0)
                state.wave = static_cast<Slots>(waveWidth(pool)) * census->second.largest;
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
        struct Census {
            std::int64_t instances { 0 };
            std::int64_t waiting { 0 }; // for maintenance
            Slots largest { 0 };
        };

        const FleetView& m_view;
        const PlannerLimits& m_limits;
        std::map<PoolId, Census> m_census;
        std::map<PoolId, PoolState> m_states;
        std::map<std::pair<PoolId, DataCenterId>, Slots> m_byDataCenter;
        std::map<std::pair<PoolId, RackId>, Slots> m_byRack;
    };

    class Round {
    public:
        Round(const FleetView& view, const PlannerLimits& limits)
            : m_view(view)
            , m_limits(limits)
            , m_tally(view, limits)
            , m_records(view.records)
        {
            if (const auto* spare = view.text->sparePool())
                m_spare = spare->id;
            for (const auto& [id, record] : m_records) {
                m_byPool[record.pool].push_back(id);
                if (!m_spare.empty() && record.pool == m_spare && m_tally.isServing(record))
                    m_spareInstances.insert(id);
            }
        }

        std::vector<InstanceChange> run()
        {
            endDrains();
            endReboots();
            discover();
            coverDeficits();
            returnSurplus();
            maintain();
            return std::move(m_changes);
        }

    private:
        void change(InstanceRecord next, ChangeReason reason)
        {
            const auto found = m_records.find(next.id);
            if (found != m_records.end())
                m_tally.add(found->second, -1);
            ++next.epoch;
            m_tally.add(next, 1);
            const bool isSpare = !m_spare.empty() && next.pool == m_spare && m_tally.isServing(next);
            if (isSpare)
                m_spareInstances.insert(next.id);
            else
                m_spareInstances.erase(next.id);
            m_records[next.id] = next;
            m_changed.insert(next.id);
            m_changes.push_back({ std::move(next), reason });
        }

        bool isRegular(const PoolId& pool) const { return pool != m_spare; }

        // Slots that are missing up to the target, counting what is on its way.
        Slots deficit(const PoolId& pool) const
        {
            const auto state = m_tally.state(pool);
            if (state.needed == 0)
                return 0;
            // The wave stands for instances that are out; beyond it they are missing like any other.
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

        void discover()
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

        // The pool with the largest deficit for its need, then the one with the fewest slots near the instance.
        PoolId firstPool(const InstanceInfo& info) const
        {
            PoolId best = m_spare;
            double bestScore = 0;
            for (const auto& [pool, state] : m_tally.states()) {
                const auto missing = deficit(pool);
                if (!isRegular(pool) || missing <= 0)
                    continue;
                const auto score = static_cast<double>(missing) / static_cast<double>(state.needed)
                    - 1e-3 * static_cast<double>(m_tally.inDataCenter(pool, info.dataCenter))
                    - 1e-2 * static_cast<double>(m_tally.inRack(pool, info.rack));
                if (best != m_spare && score <= bestScore)
                    continue;
                best = pool;
                bestScore = score;
            }
            if (best.empty() && !m_tally.states().empty())
                best = m_tally.states().begin()->first;
            return best;
        }

        void coverDeficits()
        {
            for (const auto& [pool, state] : m_tally.states()) {
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
                const std::pair score { m_tally.inDataCenter(pool, record.dataCenter),
                    m_tally.inRack(pool, record.rack) };
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
            for (const auto& [pool, unused] : m_tally.states()) {
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

        // The instance whose return leaves the pool spread best, or null when the pool has none to give.
        const InstanceRecord* chooseSurplus(const PoolId& pool) const
        {
            const auto state = m_tally.state(pool);
            if (state.arriving > 0)
                return nullptr;
            const InstanceRecord* best = nullptr;
            std::pair<Slots, Slots> bestScore;
            for (const auto& id : instancesOf(pool)) {
                const auto& record = m_records.at(id);
                if (m_changed.contains(id) || record.pool != pool || !m_tally.isServing(record))
                    continue;
                // One more instance than the target stays, so that an instance does not go back and forth.
                if (state.serving - record.slots < state.target() + record.slots)
                    continue;
                const std::pair score { m_tally.inRack(pool, record.rack),
                    m_tally.inDataCenter(pool, record.dataCenter) };
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

        void maintain()
        {
            std::size_t done = 0;
            std::size_t openInFleet = 0;
            std::map<PoolId, std::size_t> open;
            for (const auto& [id, record] : m_records) {
                done += record.phase == InstancePhase::Active && record.maintainedRound >= m_view.round;
                if (record.phase == InstancePhase::Rebooting
                    || (record.phase == InstancePhase::Draining && record.nextPool.empty())) {
                    ++open[record.pool];
                    ++openInFleet;
                }
            }
            const auto mostOpen = std::max(m_limits.canaries, done);
            for (const auto& [id, record] : m_view.records) {
                if (record.maintainedRound >= m_view.round || m_changed.contains(id) || !m_tally.isServing(record))
                    continue;
                if (m_view.frozen.contains(record.pool))
                    continue;
                if (openInFleet >= mostOpen)
                    return;
                if (open[record.pool] >= m_tally.waveWidth(record.pool) || !mayLose(record))
                    continue;
                ++open[record.pool];
                ++openInFleet;
                auto next = record;
                next.phase = InstancePhase::Draining;
                next.nextPool = PoolId();
                change(std::move(next), ChangeReason::Maintenance);
            }
        }

        // Without the instance, and without one more rack, the pool must cover its need.
        bool mayLose(const InstanceRecord& record)
        {
            m_tally.add(record, -1);
            const auto state = m_tally.state(record.pool);
            m_tally.add(record, 1);
            return state.serving - state.buffer >= state.needed;
        }

        const FleetView& m_view;
        const PlannerLimits& m_limits;
        Tally m_tally;
        // Invariant: the records as they will be after the changes of this round.
        std::map<InstanceId, InstanceRecord> m_records;
        PoolId m_spare;
        std::set<InstanceId> m_spareInstances;
        std::map<PoolId, std::vector<InstanceId>> m_byPool; // as the round began
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
    assert(view.text && "a round needs the operators' text");
    return Round(view, m_limits).run();
}

std::vector<PoolState> FleetPlanner::poolStates(const FleetView& view)
{
    const PlannerLimits limits;
    const Tally tally(view, limits);
    std::vector<PoolState> states;
    for (const auto& [pool, state] : tally.states())
        states.push_back(tally.state(pool));
    return states;
}

} // namespace marigoldlink
