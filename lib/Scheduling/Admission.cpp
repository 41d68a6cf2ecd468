// Estimate of a job's end, and the places in time for refused callers.
#include "marigoldlink/Scheduling/Admission.h"

#include "marigoldlink/Scheduling/TeamShares.h"

#include <algorithm>
#include <cmath>

namespace marigoldlink {

namespace {

    // Refused callers return at most 4 times, each time after at most three times their objective. Ids that are older
    // or beyond the number are forgotten: the job then counts as new.
    constexpr Duration s_refusalMemory { 30000 };
    constexpr std::size_t s_maxRefused = 8192;
    // Weight of the past at each end of a run, and the weight in core milliseconds of the assumption that the estimates
    // are right until runs have ended.
    constexpr double s_biasDecay = 0.99;
    constexpr double s_biasPrior = 40e6;
    // Estimates are off by half; a larger deviation is not a bias of all callers.
    constexpr double s_minBias = 0.5;
    constexpr double s_maxBias = 2;
    // Upper limit of a wait, so that no sum of times overflows.
    constexpr double s_maxWaitMs = 600000;

    Duration rounded(double milliseconds) { return Duration(std::llround(std::clamp(milliseconds, 0.0, s_maxWaitMs))); }

    Duration times(Duration duration, double factor)
    {
        return Duration(std::llround(static_cast<double>(duration.count()) * factor));
    }

    TeamTerms termsOf(const TermsByTeam& terms, const TeamId& team)
    {
        const auto found = terms.find(team);
        return found == terms.end() ? TeamTerms {} : found->second;
    }

    // Running work ends on workers that the job would need, whatever its order.
    double workOf(const Backlog::Row& row, bool includesYielding)
    {
        return row.urgent.work()
            + (includesYielding ? row.yielding.work() : static_cast<double>(row.yielding.runningWork) / 2);
    }

} // namespace

Duration timeToClear(double milliCoreMs, const PoolBacklog& pool)
{
    const std::pair<Duration, double> steps[] = { { admission::joiningTime, pool.usableMilliCores },
        { admission::joinTime, pool.usableMilliCores + pool.joiningMilliCores } };
    double begin = 0;
    double left = milliCoreMs;
    for (const auto& [until, rate] : steps) {
        const auto end = static_cast<double>(until.count());
        if (left <= rate * (end - begin))
            return rounded(left <= 0 ? begin : begin + left / rate);
        left -= rate * (end - begin);
        begin = end;
    }
    const auto rate = pool.usableMilliCores + pool.joiningMilliCores + pool.obtainableMilliCores;
    return rate <= 0 ? rounded(s_maxWaitMs) : rounded(begin + left / rate);
}

AdmissionDecision decideAdmission(const AdmissionRequest& job, const PoolBacklog& pool)
{
    AdmissionDecision decision;
    const auto bound = times(job.objective, admission::boundOfObjective);
    const auto full = pool.usableMilliCores + pool.joiningMilliCores + pool.obtainableMilliCores;
    decision.expectedWait = full > 0 ? timeToClear(pool.aheadMilliCoreMs, pool) : Duration(0);
    const auto ownTime = rounded(full > 0 ? job.milliCoreMs / full : 0);
    const auto admit = [&decision](const char* reason) {
        decision.reason = reason;
        return decision;
    };
    if (job.isExempt)
        return admit("exempt");
    if (full <= 0)
        return admit("no capacity known");
    if (std::max(job.chain, ownTime) > bound)
        return admit("never in time");
    // Of a job that can end only when it is of no more use, even room for it would be wasted.
    const bool isUseful = job.age + job.chain <= times(job.objective, admission::useOfObjective);
    if (isUseful && pool.freeMilliCores >= job.firstMilliCores)
        return admit("room");
    const auto end = std::max(
        decision.expectedWait + job.chain, timeToClear(pool.aheadMilliCoreMs + job.milliCoreMs / pool.share, pool));
    if (job.age + end <= bound)
        return admit("in time");
    decision.isAdmitted = false;
    decision.retryAfter = std::max(admission::minRetryAfter, decision.expectedWait);
    decision.reason = job.age + job.chain > bound ? "caller_late" : pool.share < 1 ? "team_share" : "pool_backlog";
    return decision;
}

QueueAhead queueAhead(const QueueView& view)
{
    QueueAhead ahead;
    const auto horizon = static_cast<double>(view.horizon.count());
    const auto cappedWork = [&](const TeamId& team, double work) {
        const auto limit = termsOf(view.terms, team).limitMilliCores;
        return limit > 0 ? std::min(work, limit * horizon) : work;
    };
    const auto waiting = [&](const TeamId& team, const WorkSum& sum) {
        const auto limit = termsOf(view.terms, team).limitMilliCores;
        const auto wanted = static_cast<double>(sum.waitingMilliCores);
        return limit > 0 ? std::clamp(limit - static_cast<double>(sum.runningMilliCores), 0.0, wanted) : wanted;
    };
    double ownWork = 0;
    double ownWaiting = 0;
    std::vector<TeamDemand> demands;
    for (const auto& [priority, teams] : view.rows) {
        if (priority > view.priority)
            break;
        for (const auto& [team, row] : teams) {
            const bool isSeparate = view.hasShares && priority == view.priority && team != view.team;
            if (isSeparate) {
                demands.push_back(
                    { team, termsOf(view.terms, team).weight, row.urgent.milliCores() + row.yielding.milliCores() });
                continue;
            }
            const auto work = cappedWork(team, workOf(row, priority < view.priority));
            const auto wait = waiting(team, row.urgent);
            const bool isOwn = view.hasShares && priority == view.priority;
            (isOwn ? ownWork : ahead.milliCoreMs) += work;
            (isOwn ? ownWaiting : ahead.waitingMilliCores) += wait;
        }
    }
    if (!view.hasShares || view.milliCores <= 0)
        return ahead;
    demands.push_back({ view.team, termsOf(view.terms, view.team).weight, view.milliCores });
    ahead.share = weightedMaxMin(demands, view.milliCores)[view.team] / view.milliCores;
    ahead.milliCoreMs += ahead.share > 0 ? ownWork / ahead.share : 0;
    ahead.waitingMilliCores += ownWaiting;
    return ahead;
}

double obtainableShare(double milliCores, std::vector<double> lacksOfOthers)
{
    std::sort(lacksOfOthers.begin(), lacksOfOthers.end());
    auto left = std::max(0.0, milliCores);
    auto sharers = static_cast<double>(lacksOfOthers.size() + 1);
    for (const auto lack : lacksOfOthers) {
        left -= std::min(std::max(0.0, lack), left / sharers);
        --sharers;
    }
    return left;
}

void EstimateBias::record(const ServiceId& pool, Duration estimate, Duration actual, std::int64_t milliCores)
{
    auto& sums = m_sums[pool];
    const auto weight = static_cast<double>(milliCores);
    sums.estimated = sums.estimated * s_biasDecay + weight * static_cast<double>(estimate.count());
    sums.actual = sums.actual * s_biasDecay + weight * static_cast<double>(actual.count());
}

double EstimateBias::ratio(const ServiceId& pool) const
{
    const auto found = m_sums.find(pool);
    if (found == m_sums.end())
        return 1;
    const auto ratio = (found->second.actual + s_biasPrior) / (found->second.estimated + s_biasPrior);
    return std::clamp(ratio, s_minBias, s_maxBias);
}

Duration RefusedCallers::age(const JobId& id, TimePoint now) const
{
    const auto found = m_firstAttempts.find(id);
    return found == m_firstAttempts.end() ? Duration(0) : now - found->second;
}

void RefusedCallers::removeOld(TimePoint now)
{
    while (!m_order.empty() && (m_order.size() > s_maxRefused || now - m_order.front().first > s_refusalMemory)) {
        m_firstAttempts.erase(m_order.front().second);
        m_order.pop_front();
    }
}

void RefusedCallers::note(const JobId& id, TimePoint now)
{
    if (m_firstAttempts.try_emplace(id, now).second)
        m_order.emplace_back(now, id);
    removeOld(now);
}

Duration RefusedCallers::refuse(const JobId& id, const ServiceId& pool, const TeamId& team, Duration untilRoom,
    Duration ownTime, Duration limit, TimePoint now)
{
    note(id, now);
    auto& next = m_nextPlace.try_emplace({ pool, team }, now).first->second;
    const auto latest = std::max(limit, admission::minRetryAfter);
    const auto place = std::max(next, now + untilRoom);
    if (place + ownTime <= now + latest)
        next = place + ownTime;
    return std::clamp(place - now, admission::minRetryAfter, latest);
}

} // namespace marigoldlink
