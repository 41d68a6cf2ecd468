// Targets of contended pools, and the choice of the instances that leave.
#include "marigoldlink/Scheduling/PoolContention.h"

#include "marigoldlink/Scheduling/TeamShares.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace marigoldlink {

namespace {

    // Weight of a team's work in a pool relative to its work of the next lower priority. Priorities order the tasks
    // within a pool strictly; between pools a strict order would leave a pool of lower priority without instances.
    constexpr double s_priorityFactor = 2;

    // Work of one team, by pool.
    struct WorkInPool {
        double milliCores { 0 };
        double weight { 0 }; // of the priorities, averaged over the work
    };
    using WorkByPool = std::map<ServiceId, WorkInPool>;
    using WorkByTeam = std::map<TeamId, WorkByPool>;

    double priorityWeight(int priority) { return std::pow(s_priorityFactor, -std::clamp(priority, 0, 8)); }

    double totalOf(const WorkByPool& pools)
    {
        double sum = 0;
        for (const auto& [id, work] : pools)
            sum += work.milliCores;
        return sum;
    }

    void add(WorkInPool& work, double milliCores, double weight)
    {
        if (milliCores <= 0)
            return;
        work.weight = (work.weight * work.milliCores + weight * milliCores) / (work.milliCores + milliCores);
        work.milliCores += milliCores;
    }

    WorkByTeam workOf(const ContentionView& view, JobProspect prospect, double headroom)
    {
        WorkByTeam byTeam;
        for (const auto& work : view.work) {
            if (work.prospect == prospect && view.pools.contains(work.pool))
                add(byTeam[work.team][work.pool], work.milliCores * headroom, priorityWeight(work.priority));
        }
        return byTeam;
    }

    // Raises the work of each pool to its forecast. The expected arrivals are attributed to the teams in proportion to
    // their present work there.
    void addForecast(WorkByTeam& onTime, const ContentionView& view, double headroom)
    {
        for (const auto& [id, pool] : view.pools) {
            double present = 0;
            for (const auto& [team, pools] : onTime) {
                const auto found = pools.find(id);
                present += found == pools.end() ? 0 : found->second.milliCores;
            }
            const auto forecast = pool.forecastMilliCores * headroom;
            if (forecast <= present)
                continue;
            if (present <= 0) {
                add(onTime[TeamId()][id], forecast, 1);
                continue;
            }
            for (auto& [team, pools] : onTime) {
                if (const auto found = pools.find(id); found != pools.end())
                    found->second.milliCores *= forecast / present;
            }
        }
    }

    // Adds each pool's part of the capacity to its target, and returns the rest of the capacity.
    double divide(
        const WorkByTeam& byTeam, const std::map<TeamId, double>& weights, double milliCores, PoolTargets& targets)
    {
        std::vector<TeamDemand> teams;
        for (const auto& [team, pools] : byTeam) {
            const auto weight = weights.find(team);
            teams.push_back(
                { team, weight == weights.end() || weight->second <= 0 ? 1 : weight->second, totalOf(pools) });
        }
        for (const auto& [team, part] : weightedMaxMin(teams, milliCores)) {
            // weightedMaxMin() divides between any parties; here they are the pools of one team.
            std::vector<TeamDemand> pools;
            for (const auto& [pool, work] : byTeam.at(team)) {
                if (work.milliCores > 0)
                    pools.push_back({ TeamId(pool.value()), work.weight, work.milliCores });
            }
            for (const auto& [pool, amount] : weightedMaxMin(pools, part)) {
                targets[ServiceId(pool.value())] += amount;
                milliCores -= amount;
            }
        }
        return std::max(0.0, milliCores);
    }

    // A pool while a plan is made.
    struct PoolState {
        double target { 0 };
        double milliCores { 0 }; // usable, with instances that are moving or leaving towards it
        int instances { 0 }; // usable and not leaving
        int leaving { 0 }; // from it
        const ContendedPool* pool { nullptr };

        double coverage() const { return target > 0 ? milliCores / target : std::numeric_limits<double>::infinity(); }
        double coverageWithout(double less) const
        {
            return target > 0 ? (milliCores - less) / target
                              : (milliCores - less >= 0 ? std::numeric_limits<double>::infinity() : 0);
        }
    };

    std::string percent(double part)
    {
        return std::isfinite(part) ? std::to_string(std::lround(part * 100)) + "%" : "more than needed";
    }

    // The plan in progress.
    class Planner {
    public:
        Planner(
            const ContentionView& view, const PoolTargets& targets, const PoolContention::Limits& limits, TimePoint now)
            : m_view(view)
            , m_limits(limits)
            , m_now(now)
        {
            for (const auto& [id, pool] : view.pools) {
                const auto target = targets.find(id);
                m_pools[id] = { target == targets.end() ? 0 : target->second, 0, 0, 0, &pool };
            }
            for (const auto& instance : view.instances) {
                if (!instance.isUsable || !m_pools.contains(instance.pool))
                    continue;
                auto& pool = m_pools.at(instance.pool);
                pool.milliCores += instance.milliCores;
                ++pool.instances;
                if (instance.leaving)
                    beginLeaving(instance, instance.leaving->receiver);
            }
        }

        void checkLeaving()
        {
            for (const auto& instance : m_view.instances) {
                if (!instance.leaving)
                    continue;
                if (const auto reason = releaseReason(instance); !reason.empty()) {
                    endLeaving(instance);
                    m_plan.releases.push_back({ instance.id, reason });
                } else if (!instance.runsEndAt) {
                    m_plan.moves.push_back(instance.id);
                }
            }
        }

        void chooseInstances()
        {
            std::vector<const ContendedInstance*> candidates;
            for (const auto& instance : m_view.instances) {
                if (instance.canLeave && instance.isUsable && !instance.leaving && m_pools.contains(instance.pool)
                    && instance.runsEndAt.value_or(m_now) <= m_now + m_limits.maxRemaining)
                    candidates.push_back(&instance);
            }
            std::stable_sort(candidates.begin(), candidates.end(),
                [this](const ContendedInstance* left, const ContendedInstance* right) {
                    return left->runsEndAt.value_or(TimePoint::min()) < right->runsEndAt.value_or(TimePoint::min());
                });
            for (const auto* instance : candidates) {
                const auto receiver = receiverOf(*instance);
                if (receiver)
                    leave(*instance, *receiver);
            }
        }

        ContentionPlan takePlan() { return std::move(m_plan); }

    private:
        void beginLeaving(const ContendedInstance& instance, const ServiceId& receiver)
        {
            auto& donor = m_pools.at(instance.pool);
            donor.milliCores -= instance.milliCores;
            --donor.instances;
            ++donor.leaving;
            if (const auto found = m_pools.find(receiver); found != m_pools.end())
                found->second.milliCores += instance.milliCores;
        }

        void endLeaving(const ContendedInstance& instance)
        {
            const auto found = m_pools.find(instance.pool);
            if (found == m_pools.end() || !instance.isUsable)
                return;
            found->second.milliCores += instance.milliCores;
            ++found->second.instances;
            --found->second.leaving;
            if (const auto receiver = m_pools.find(instance.leaving->receiver); receiver != m_pools.end())
                receiver->second.milliCores -= instance.milliCores;
        }

        // Empty if the instance goes on leaving.
        std::string releaseReason(const ContendedInstance& instance) const
        {
            const auto receiver = m_pools.find(instance.leaving->receiver);
            const auto donor = m_pools.find(instance.pool);
            if (!instance.canLeave || !instance.isUsable)
                return "it must not be moved any more";
            if (receiver == m_pools.end() || donor == m_pools.end()
                || std::count(instance.excludedPools.begin(), instance.excludedPools.end(), instance.leaving->receiver))
                return "pool " + instance.leaving->receiver.value() + " cannot receive it any more";
            // Without a margin, so that a small change of demand does not undo the decision.
            if (receiver->second.coverageWithout(instance.milliCores) >= std::min(1.0, donor->second.coverage())
                || donor->second.instances < donor->second.pool->minInstances)
                return "the need has gone: coverage " + percent(donor->second.coverage()) + ", of pool "
                    + receiver->first.value() + ' ' + percent(receiver->second.coverageWithout(instance.milliCores));
            if (instance.runsEndAt && m_now > instance.leaving->expectedEnd + m_limits.maxOverrun)
                return "its runs take longer than expected";
            return {};
        }

        bool mayDonate(const PoolState& donor, const ContendedInstance& instance) const
        {
            const bool hasReceived = donor.pool->receivedAt && m_now - *donor.pool->receivedAt < m_limits.minStay;
            const auto most = std::max(
                1, static_cast<int>(m_limits.maxLeavingPart * static_cast<double>(donor.instances + donor.leaving)));
            return donor.instances > std::max(1, donor.pool->minInstances) && (!hasReceived || !instance.runsEndAt)
                && donor.leaving < most && donor.coverageWithout(instance.milliCores) >= 1;
        }

        // The pool with the lowest coverage that should get the instance.
        std::optional<ServiceId> receiverOf(const ContendedInstance& instance) const
        {
            const auto& donor = m_pools.at(instance.pool);
            if (!mayDonate(donor, instance))
                return std::nullopt;
            std::optional<ServiceId> best;
            auto lowest = std::min(1.0, donor.coverageWithout(instance.milliCores) - m_limits.coverageMargin);
            for (const auto& [id, pool] : m_pools) {
                const bool isExcluded
                    = std::count(instance.excludedPools.begin(), instance.excludedPools.end(), id) > 0;
                if (id != instance.pool && !isExcluded && pool.coverage() < lowest) {
                    lowest = pool.coverage();
                    best = id;
                }
            }
            return best;
        }

        void leave(const ContendedInstance& instance, const ServiceId& receiver)
        {
            const auto end = instance.runsEndAt.value_or(m_now);
            m_plan.leaves.push_back({ instance.id, { receiver, m_now, end },
                "coverage " + percent(m_pools.at(instance.pool).coverage()) + ", of pool " + receiver.value() + ' '
                    + percent(m_pools.at(receiver).coverage()) + "; runs expected to end in "
                    + std::to_string(std::max<std::int64_t>(0, (end - m_now).count())) + " ms" });
            beginLeaving(instance, receiver);
        }

        const ContentionView& m_view;
        const PoolContention::Limits& m_limits;
        TimePoint m_now;
        std::map<ServiceId, PoolState> m_pools;
        ContentionPlan m_plan;
    };

} // namespace

PoolTargets PoolContention::targets(const ContentionView& view) const
{
    double left = view.spareMilliCores;
    for (const auto& instance : view.instances)
        left += instance.isUsable ? instance.milliCores : 0;
    PoolTargets targets;
    double reserved = 0;
    for (const auto& [id, pool] : view.pools)
        reserved += pool.reservedMilliCores * m_limits.headroom;
    const auto part = reserved > left ? left / reserved : 1;
    for (const auto& [id, pool] : view.pools) {
        targets[id] = pool.reservedMilliCores * m_limits.headroom * part;
        left -= targets[id];
    }
    left = std::max(0.0, left);
    for (const auto prospect : { JobProspect::OnTime, JobProspect::Late, JobProspect::Lost }) {
        auto byTeam = workOf(view, prospect, m_limits.headroom);
        if (prospect == JobProspect::OnTime)
            addForecast(byTeam, view, m_limits.headroom);
        left = divide(byTeam, view.teamWeights, left, targets);
    }
    return targets;
}

ContentionPlan PoolContention::plan(const ContentionView& view, const PoolTargets& targets, TimePoint now) const
{
    Planner planner(view, targets, m_limits, now);
    planner.checkLeaving();
    planner.chooseInstances();
    return planner.takePlan();
}

} // namespace marigoldlink
