// Forecast of arrivals and the choice of moves.
#include "marigoldlink/Coordination/PoolSizer.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

namespace marigoldlink {

namespace {

    // Standard deviations that the forecast stays below the sum. An instance that comes in vain costs a few seconds of
    // itself; one that comes late costs the worth of all that waits.
    constexpr double s_caution = 0.5;

} // namespace

double ArrivalForecast::fade(TimePoint now) const
{
    return std::exp(-static_cast<double>((now - m_at).count()) / static_cast<double>(m_memory.count()));
}

void ArrivalForecast::add(TimePoint now, double milliCoreMilliseconds)
{
    const auto remaining = fade(now);
    const auto milliCores = milliCoreMilliseconds / static_cast<double>(m_memory.count());
    m_sum = m_sum * remaining + milliCores;
    m_sumOfSquares = m_sumOfSquares * remaining * remaining + milliCores * milliCores;
    m_at = now;
}

double ArrivalForecast::milliCores(TimePoint now) const
{
    return std::max(0.0, m_sum - s_caution * std::sqrt(m_sumOfSquares)) * fade(now);
}

namespace {

    Resources scaled(const Resources& resources, double factor)
    {
        const auto times = [factor](std::int64_t value) {
            return static_cast<std::int64_t>(std::llround(static_cast<double>(value) * factor));
        };
        return { times(resources.milliCores), times(resources.memoryMegabytes), times(resources.accelerators) };
    }

    // The instances of a pool, or those with one label, against what is asked of them.
    struct Group {
        Resources wanted; // with headroom
        int least { 0 };
        Resources capacity {};
        int instances { 0 };

        // The part of what is wanted that is there, of the resource that lacks most.
        double covered() const
        {
            if (instances < least)
                return 0;
            const auto part = [](std::int64_t has, std::int64_t wants) {
                return wants <= 0 ? 1 : std::min(1.0, static_cast<double>(has) / static_cast<double>(wants));
            };
            return std::min(
                { part(capacity.milliCores, wanted.milliCores), part(capacity.memoryMegabytes, wanted.memoryMegabytes),
                    part(capacity.accelerators, wanted.accelerators) });
        }

        // Whether more of the instance's kind brings what lacks.
        bool isHelpedBy(const Resources& more) const
        {
            const auto helps
                = [](std::int64_t has, std::int64_t wants, std::int64_t brings) { return wants > has && brings > 0; };
            return instances < least || helps(capacity.milliCores, wanted.milliCores, more.milliCores)
                || helps(capacity.memoryMegabytes, wanted.memoryMegabytes, more.memoryMegabytes)
                || helps(capacity.accelerators, wanted.accelerators, more.accelerators);
        }

        bool canGive(const Resources& less, double factor) const
        {
            return instances > least && scaled(wanted, factor).fitsInto(capacity - less);
        }

        void add(const Resources& more)
        {
            capacity += more;
            ++instances;
        }

        void subtract(const Resources& less)
        {
            capacity -= less;
            --instances;
        }
    };

    Resources smaller(const Resources& left, const Resources& right)
    {
        return { std::min(left.milliCores, right.milliCores), std::min(left.memoryMegabytes, right.memoryMegabytes),
            std::min(left.accelerators, right.accelerators) };
    }

    struct PoolState {
        Group whole;
        std::map<std::string, Group> byLabel; // of the labels that tasks require

        PoolState(const PoolDemand& demand, double headroom)
            : whole { scaled(demand.whole.need, headroom), demand.whole.leastInstances }
        {
            for (const auto& [label, part] : demand.byLabel)
                byLabel[label] = { scaled(part.need, headroom), part.leastInstances };
        }

        // The pool as an instance can serve it: without the tasks that require a label which it lacks, and without the
        // room that others have for these.
        Group wholeFor(const SizedInstance& instance) const
        {
            auto rest = whole;
            for (const auto& [label, group] : byLabel) {
                if (instance.labels.contains(label))
                    continue;
                rest.wanted -= group.wanted;
                rest.capacity -= smaller(group.wanted, group.capacity);
            }
            return rest;
        }

        double covered() const
        {
            auto lowest = whole.covered();
            for (const auto& [label, group] : byLabel)
                lowest = std::min(lowest, group.covered());
            return lowest;
        }

        bool lacksLabelOf(const SizedInstance& instance) const
        {
            return std::any_of(byLabel.begin(), byLabel.end(), [&instance](const auto& entry) {
                return instance.labels.contains(entry.first) && entry.second.isHelpedBy(instance.capacity);
            });
        }

        bool isHelpedBy(const SizedInstance& instance) const
        {
            return lacksLabelOf(instance) || wholeFor(instance).isHelpedBy(instance.capacity);
        }

        bool canGive(const SizedInstance& instance, double factor) const
        {
            return wholeFor(instance).canGive(instance.capacity, factor)
                && std::all_of(byLabel.begin(), byLabel.end(), [&](const auto& entry) {
                       return !instance.labels.contains(entry.first) || entry.second.canGive(instance.capacity, factor);
                   });
        }

        // Calls with each group that the instance belongs to.
        template <typename Change> void changeGroupsOf(const SizedInstance& instance, Change change)
        {
            change(whole);
            for (auto& [label, group] : byLabel) {
                if (instance.labels.contains(label))
                    change(group);
            }
        }

        void join(const SizedInstance& instance)
        {
            changeGroupsOf(instance, [&](Group& group) { group.add(instance.capacity); });
        }

        void leave(const SizedInstance& instance)
        {
            changeGroupsOf(instance, [&](Group& group) { group.subtract(instance.capacity); });
        }
    };

    // The plan under way: the pools with the moves so far.
    class Plan {
    public:
        Plan(const std::map<ServiceId, PoolDemand>& demands, const std::vector<SizedInstance>& instances,
            const ServiceId& spare, const PoolSizer::Limits& limits)
            : m_instances(instances)
            , m_spare(spare)
            , m_giveFactor(limits.keepAbove / limits.headroom)
            , m_isTaken(instances.size())
        {
            for (const auto& [id, demand] : demands) {
                if (id != spare)
                    m_pools.emplace(id, PoolState(demand, limits.headroom));
            }
            for (const auto& instance : instances) {
                if (auto* pool = poolOf(instance.pool); pool && instance.isUsable)
                    pool->join(instance);
            }
            m_asksForLabels = std::any_of(
                m_pools.begin(), m_pools.end(), [](const auto& entry) { return !entry.second.byLabel.empty(); });
            if (!m_asksForLabels)
                orderDonors();
        }

        // The pool that lacks the largest part of its demand is served first, one instance at a time.
        void fillPools()
        {
            std::set<ServiceId> hopeless;
            for (;;) {
                const auto neediest = neediestPool(hopeless);
                if (!neediest)
                    return;
                if (const auto* instance = donor(*neediest))
                    move(*instance, *neediest);
                else
                    hopeless.insert(*neediest);
            }
        }

        void emptyPools(Duration idleBeforeSpare, TimePoint now)
        {
            for (const auto& instance : m_instances) {
                if (!mayMove(instance, m_spare) || now - instance.idleSince < idleBeforeSpare)
                    continue;
                if (auto* pool = poolOf(instance.pool); pool && pool->canGive(instance, m_giveFactor))
                    move(instance, m_spare);
            }
        }

        std::vector<PlannedMove> takeMoves() { return std::move(m_moves); }

    private:
        PoolState* poolOf(const ServiceId& id)
        {
            const auto found = m_pools.find(id);
            return found == m_pools.end() ? nullptr : &found->second;
        }

        std::optional<ServiceId> neediestPool(const std::set<ServiceId>& except) const
        {
            std::optional<ServiceId> neediest;
            double lowest = 1;
            for (const auto& [id, pool] : m_pools) {
                if (const auto covered = pool.covered(); covered < lowest && !except.contains(id)) {
                    lowest = covered;
                    neediest = id;
                }
            }
            return neediest;
        }

        bool mayMove(const SizedInstance& instance, const ServiceId& target) const
        {
            return instance.isMovable && !m_isTaken[indexOf(instance)] && instance.pool != target
                && !instance.barredPools.contains(target);
        }

        std::size_t indexOf(const SizedInstance& instance) const
        {
            return static_cast<std::size_t>(&instance - m_instances.data());
        }

        // Where no pool asks for a label, the rank of an instance is the same for each receiver and all through the
        // plan.
        void orderDonors()
        {
            for (const auto& instance : m_instances) {
                if (instance.isMovable)
                    m_donors.push_back(&instance);
            }
            std::stable_sort(
                m_donors.begin(), m_donors.end(), [this](const SizedInstance* left, const SizedInstance* right) {
                    return rank(*left, false) < rank(*right, false);
                });
        }

        bool mayGive(const SizedInstance& instance, const ServiceId& receiver)
        {
            if (!mayMove(instance, receiver) || !poolOf(receiver)->isHelpedBy(instance))
                return false;
            if (instance.pool == m_spare)
                return true;
            const auto* pool = poolOf(instance.pool);
            return pool && pool->canGive(instance, m_giveFactor);
        }

        // The instance that helps the receiver and is missed least; see rank().
        const SizedInstance* donor(const ServiceId& receiver)
        {
            if (!m_asksForLabels) {
                while (m_firstDonor < m_donors.size() && m_isTaken[indexOf(*m_donors[m_firstDonor])])
                    ++m_firstDonor;
                const auto first = m_donors.begin() + static_cast<std::ptrdiff_t>(m_firstDonor);
                const auto found = std::find_if(
                    first, m_donors.end(), [&](const SizedInstance* instance) { return mayGive(*instance, receiver); });
                return found == m_donors.end() ? nullptr : *found;
            }
            const SizedInstance* best = nullptr;
            for (const auto& instance : m_instances) {
                if (mayGive(instance, receiver)
                    && (!best || rank(instance, isKept(instance, receiver)) < rank(*best, isKept(*best, receiver))))
                    best = &instance;
            }
            return best;
        }

        // Whether only other pools ask for the instance's label.
        bool isKept(const SizedInstance& instance, const ServiceId& receiver)
        {
            return !poolOf(receiver)->lacksLabelOf(instance)
                && std::any_of(m_pools.begin(), m_pools.end(),
                    [&instance](const auto& entry) { return entry.second.lacksLabelOf(instance); });
        }

        // Lower is better. Instances of the spare pool go first, as nobody misses them, and large ones, as all cost the
        // same. One whose label only others ask for is kept for them. Of other pools the one goes that has been idle
        // longest.
        std::tuple<bool, bool, std::int64_t> rank(const SizedInstance& instance, bool isKept) const
        {
            const bool isSpare = instance.pool == m_spare;
            return { !isSpare, isKept,
                isSpare ? -instance.capacity.milliCores : instance.idleSince.time_since_epoch().count() };
        }

        void move(const SizedInstance& instance, const ServiceId& target)
        {
            m_isTaken[indexOf(instance)] = true;
            m_moves.push_back({ instance.id, target });
            if (auto* from = poolOf(instance.pool); from && instance.isUsable)
                from->leave(instance);
            if (auto* to = poolOf(target))
                to->join(instance);
        }

        const std::vector<SizedInstance>& m_instances;
        ServiceId m_spare;
        double m_giveFactor;
        std::map<ServiceId, PoolState> m_pools;
        bool m_asksForLabels { false };
        std::vector<const SizedInstance*> m_donors; // by rank; empty where a pool asks for labels
        std::size_t m_firstDonor { 0 }; // invariant: all before it are taken
        std::vector<bool> m_isTaken; // by the index of the instance
        std::vector<PlannedMove> m_moves;
    };

} // namespace

std::vector<PlannedMove> PoolSizer::plan(const std::map<ServiceId, PoolDemand>& demands,
    const std::vector<SizedInstance>& instances, const ServiceId& spare, TimePoint now) const
{
    Plan plan(demands, instances, spare, m_limits);
    plan.fillPools();
    if (!spare.empty())
        plan.emptyPools(m_limits.idleBeforeSpare, now);
    return plan.takeMoves();
}

} // namespace marigoldlink
