// Arrival forecast and choice of moves.
#include "marigoldlink/Coordination/PoolSizer.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

namespace marigoldlink {

namespace {

    // Number of standard deviations by which the forecast stays below the sum. A low factor is right: an instance that
    // is moved needlessly costs a few seconds of instance time, while one that joins late reduces the value of all
    // waiting jobs.
    constexpr double s_safetyDeviations = 0.5;

} // namespace

double ArrivalForecast::decayFactor(TimePoint now) const
{
    return std::exp(-static_cast<double>((now - m_updatedAt).count()) / static_cast<double>(m_timeConstant.count()));
}

void ArrivalForecast::add(TimePoint now, double milliCoreMilliseconds)
{
    const auto factor = decayFactor(now);
    const auto milliCores = milliCoreMilliseconds / static_cast<double>(m_timeConstant.count());
    m_sum = m_sum * factor + milliCores;
    m_sumOfSquares = m_sumOfSquares * factor * factor + milliCores * milliCores;
    m_updatedAt = now;
}

double ArrivalForecast::milliCores(TimePoint now) const
{
    return std::max(0.0, m_sum - s_safetyDeviations * std::sqrt(m_sumOfSquares)) * decayFactor(now);
}

namespace {

    Resources scaled(const Resources& resources, double factor)
    {
        const auto times = [factor](std::int64_t value) {
            return static_cast<std::int64_t>(std::llround(static_cast<double>(value) * factor));
        };
        return { times(resources.milliCores), times(resources.memoryMegabytes), times(resources.accelerators) };
    }

    // Capacity and demand of the instances of a pool, or of those with one label.
    struct Group {
        Resources target; // demand with headroom
        int minCount { 0 };
        Resources capacity {};
        int instances { 0 };

        // Fraction of the demand that the capacity covers, for the scarcest resource; 0 below the minimum instance
        // count.
        double coverage() const
        {
            if (instances < minCount)
                return 0;
            const auto part = [](std::int64_t has, std::int64_t wants) {
                return wants <= 0 ? 1 : std::min(1.0, static_cast<double>(has) / static_cast<double>(wants));
            };
            return std::min(
                { part(capacity.milliCores, target.milliCores), part(capacity.memoryMegabytes, target.memoryMegabytes),
                    part(capacity.accelerators, target.accelerators) });
        }

        // Whether adding these resources reduces a deficit.
        bool benefitsFrom(const Resources& more) const
        {
            const auto helps
                = [](std::int64_t has, std::int64_t wants, std::int64_t brings) { return wants > has && brings > 0; };
            return instances < minCount || helps(capacity.milliCores, target.milliCores, more.milliCores)
                || helps(capacity.memoryMegabytes, target.memoryMegabytes, more.memoryMegabytes)
                || helps(capacity.accelerators, target.accelerators, more.accelerators);
        }

        bool canDonate(const Resources& less, double factor) const
        {
            return instances > minCount && scaled(target, factor).fitsInto(capacity - less);
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

    struct PoolState {
        Group whole;
        std::map<std::string, Group> byLabel; // by label that tasks require

        PoolState(const PoolDemand& demand, double headroom)
            : whole { scaled(demand.total.need, headroom), demand.total.minInstances }
        {
            for (const auto& [label, part] : demand.byLabel)
                byLabel[label] = { scaled(part.need, headroom), part.minInstances };
        }

        // The part of the pool that the instance can serve: without the demand for labels that it does not have, and
        // without the capacity of other instances that this demand uses.
        Group servablePart(const SizedInstance& instance) const
        {
            auto rest = whole;
            for (const auto& [label, group] : byLabel) {
                if (instance.labels.contains(label))
                    continue;
                rest.target -= group.target;
                rest.capacity -= elementwiseMin(group.target, group.capacity);
            }
            return rest;
        }

        double coverage() const
        {
            auto lowest = whole.coverage();
            for (const auto& [label, group] : byLabel)
                lowest = std::min(lowest, group.coverage());
            return lowest;
        }

        bool lacksLabelOf(const SizedInstance& instance) const
        {
            return std::any_of(byLabel.begin(), byLabel.end(), [&instance](const auto& entry) {
                return instance.labels.contains(entry.first) && entry.second.benefitsFrom(instance.capacity);
            });
        }

        bool benefitsFrom(const SizedInstance& instance) const
        {
            return lacksLabelOf(instance) || servablePart(instance).benefitsFrom(instance.capacity);
        }

        bool canDonate(const SizedInstance& instance, double factor) const
        {
            return servablePart(instance).canDonate(instance.capacity, factor)
                && std::all_of(byLabel.begin(), byLabel.end(), [&](const auto& entry) {
                       return !instance.labels.contains(entry.first)
                           || entry.second.canDonate(instance.capacity, factor);
                   });
        }

        // Calls the function with each group that the instance belongs to.
        template <typename Function> void forEachGroupOf(const SizedInstance& instance, Function function)
        {
            function(whole);
            for (auto& [label, group] : byLabel) {
                if (instance.labels.contains(label))
                    function(group);
            }
        }

        void addInstance(const SizedInstance& instance)
        {
            forEachGroupOf(instance, [&](Group& group) { group.add(instance.capacity); });
        }

        void removeInstance(const SizedInstance& instance)
        {
            forEachGroupOf(instance, [&](Group& group) { group.subtract(instance.capacity); });
        }
    };

    // A plan in progress: the pools as they will be after the moves planned so far.
    class MovePlan {
    public:
        MovePlan(const std::map<ServiceId, PoolDemand>& demands, const std::vector<SizedInstance>& instances,
            const ServiceId& spare, const PoolSizer::Limits& limits)
            : m_instances(instances)
            , m_spare(spare)
            , m_donorFactor(limits.donorHeadroom / limits.headroom)
            , m_isMoved(instances.size())
        {
            for (const auto& [id, demand] : demands) {
                if (id != spare)
                    m_pools.emplace(id, PoolState(demand, limits.headroom));
            }
            for (const auto& instance : instances) {
                if (auto* pool = poolOf(instance.pool); pool && instance.isUsable)
                    pool->addInstance(instance);
            }
            m_hasLabelDemand = std::any_of(
                m_pools.begin(), m_pools.end(), [](const auto& entry) { return !entry.second.byLabel.empty(); });
            if (!m_hasLabelDemand)
                sortDonors();
        }

        // Repeatedly adds one instance to the pool with the lowest coverage.
        void coverDeficits()
        {
            std::set<ServiceId> unservable;
            for (;;) {
                const auto mostDeficient = mostDeficientPool(unservable);
                if (!mostDeficient)
                    return;
                if (const auto* instance = donor(*mostDeficient))
                    move(*instance, *mostDeficient);
                else
                    unservable.insert(*mostDeficient);
            }
        }

        void returnIdleInstances(Duration idleBeforeSpare, TimePoint now)
        {
            for (const auto& instance : m_instances) {
                if (!canMove(instance, m_spare) || now - instance.idleSince < idleBeforeSpare)
                    continue;
                if (auto* pool = poolOf(instance.pool); pool && pool->canDonate(instance, m_donorFactor))
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

        std::optional<ServiceId> mostDeficientPool(const std::set<ServiceId>& except) const
        {
            std::optional<ServiceId> mostDeficient;
            double lowest = 1;
            for (const auto& [id, pool] : m_pools) {
                if (const auto coverage = pool.coverage(); coverage < lowest && !except.contains(id)) {
                    lowest = coverage;
                    mostDeficient = id;
                }
            }
            return mostDeficient;
        }

        bool canMove(const SizedInstance& instance, const ServiceId& target) const
        {
            return instance.isMovable && !m_isMoved[indexOf(instance)] && instance.pool != target
                && !instance.excludedPools.contains(target);
        }

        std::size_t indexOf(const SizedInstance& instance) const
        {
            return static_cast<std::size_t>(&instance - m_instances.data());
        }

        // Sorts the donors once. Without demand for labels, the rank of an instance does not depend on the receiver and
        // does not change during the plan.
        void sortDonors()
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

        bool canDonateTo(const SizedInstance& instance, const ServiceId& receiver)
        {
            if (!canMove(instance, receiver) || !poolOf(receiver)->benefitsFrom(instance))
                return false;
            if (instance.pool == m_spare)
                return true;
            const auto* pool = poolOf(instance.pool);
            return pool && pool->canDonate(instance, m_donorFactor);
        }

        // Returns the instance with the lowest rank that helps the receiver, or null.
        const SizedInstance* donor(const ServiceId& receiver)
        {
            if (!m_hasLabelDemand) {
                while (m_firstDonor < m_donors.size() && m_isMoved[indexOf(*m_donors[m_firstDonor])])
                    ++m_firstDonor;
                const auto first = m_donors.begin() + static_cast<std::ptrdiff_t>(m_firstDonor);
                const auto found = std::find_if(first, m_donors.end(),
                    [&](const SizedInstance* instance) { return canDonateTo(*instance, receiver); });
                return found == m_donors.end() ? nullptr : *found;
            }
            const SizedInstance* best = nullptr;
            for (const auto& instance : m_instances) {
                if (canDonateTo(instance, receiver)
                    && (!best
                        || rank(instance, isReservedForOther(instance, receiver))
                            < rank(*best, isReservedForOther(*best, receiver))))
                    best = &instance;
            }
            return best;
        }

        // Whether other pools, but not the receiver, lack instances with a label of this one.
        bool isReservedForOther(const SizedInstance& instance, const ServiceId& receiver)
        {
            return !poolOf(receiver)->lacksLabelOf(instance)
                && std::any_of(m_pools.begin(), m_pools.end(),
                    [&instance](const auto& entry) { return entry.second.lacksLabelOf(instance); });
        }

        // Order in which instances are moved; lower goes first. Instances of the spare pool come first, as no pool
        // needs them, the large ones before the small ones, as all cost the same. Instances with a label that only
        // other pools lack come last in either group. Among instances of other pools, the one that has been idle
        // longest comes first.
        std::tuple<bool, bool, std::int64_t> rank(const SizedInstance& instance, bool isReservedForOther) const
        {
            const bool isSpare = instance.pool == m_spare;
            return { !isSpare, isReservedForOther,
                isSpare ? -instance.capacity.milliCores : instance.idleSince.time_since_epoch().count() };
        }

        void move(const SizedInstance& instance, const ServiceId& target)
        {
            m_isMoved[indexOf(instance)] = true;
            m_moves.push_back({ instance.id, target });
            if (auto* from = poolOf(instance.pool); from && instance.isUsable)
                from->removeInstance(instance);
            if (auto* to = poolOf(target))
                to->addInstance(instance);
        }

        const std::vector<SizedInstance>& m_instances;
        ServiceId m_spare;
        double m_donorFactor;
        std::map<ServiceId, PoolState> m_pools;
        bool m_hasLabelDemand { false };
        std::vector<const SizedInstance*> m_donors; // by rank; empty if a pool has demand for a label
        std::size_t m_firstDonor { 0 }; // invariant: all donors before it have been moved
        std::vector<bool> m_isMoved; // by index of the instance
        std::vector<PlannedMove> m_moves;
    };

} // namespace

std::vector<PlannedMove> PoolSizer::plan(const std::map<ServiceId, PoolDemand>& demands,
    const std::vector<SizedInstance>& instances, const ServiceId& spare, TimePoint now) const
{
    MovePlan plan(demands, instances, spare, m_limits);
    plan.coverDeficits();
    if (!spare.empty())
        plan.returnIdleInstances(m_limits.idleBeforeSpare, now);
    return plan.takeMoves();
}

} // namespace marigoldlink
