// The need of a job by label, and its sums by service.
#include "marigoldlink/Coordination/PoolDemandIndex.h"

#include "marigoldlink/Coordination/JobTable.h"

#include <algorithm>
#include <utility>

namespace marigoldlink {

namespace {

    Resources times(const Resources& resources, int count)
    {
        return { resources.milliCores * count, resources.memoryMegabytes * count, resources.accelerators * count };
    }

    bool followsOpenSteps(const Occurrence& occurrence, const Job& job, const StepSpec& spec)
    {
        return std::all_of(spec.after.begin(), spec.after.end(), [&](int earlier) {
            const auto& before = occurrence.steps[static_cast<std::size_t>(earlier)];
            return before.active || isStepReady(job, occurrence, earlier);
        });
    }

} // namespace

PoolDemandIndex::LabelledNeed PoolDemandIndex::occurrenceNeed(const Job& job, const Occurrence& occurrence) const
{
    // The larger of two needs: that of the steps that run or are ready, and that of the steps that directly follow
    // them. The latter become ready before an instance that is moved now could join.
    LabelledNeed now;
    LabelledNeed next;
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
        const auto& step = occurrence.steps[i];
        const auto& spec = job.spec.steps[i];
        const int open = static_cast<int>(step.tasks.size()) - step.done;
        const auto largest = m_bounds.find(spec.requiredLabel);
        if (open <= 0 || largest == m_bounds.end() || !spec.reserved().fitsInto(largest->second))
            continue;
        const auto need = times(spec.reserved(), open);
        auto* part = &next;
        if (step.active || isStepReady(job, occurrence, static_cast<int>(i)))
            part = &now;
        else if (!followsOpenSteps(occurrence, job, spec))
            continue;
        (*part)[{}] += need;
        if (!spec.requiredLabel.empty())
            (*part)[spec.requiredLabel] += need;
    }
    for (const auto& [label, need] : next)
        now[label] = elementwiseMax(now[label], need);
    return now;
}

PoolDemandIndex::Contribution PoolDemandIndex::contribution(const Job& job) const
{
    Contribution contribution { job.queue.service, {}, {} };
    for (const auto& [number, occurrence] : job.occurrences) {
        if (job.finishedOccurrences.contains(number))
            continue;
        for (const auto& [label, need] : occurrenceNeed(job, occurrence))
            contribution.need[label] += need;
        for (const auto& spec : job.spec.steps) {
            if (!spec.isService || !spec.maxPerWorker || !m_bounds.contains(spec.requiredLabel))
                continue;
            const int hosts = (spec.tasks + spec.maxPerWorker - 1) / spec.maxPerWorker;
            contribution.minInstances.emplace(spec.requiredLabel, hosts);
        }
    }
    return contribution;
}

void PoolDemandIndex::changed(const Job& job) { m_changed.insert(&job); }

void PoolDemandIndex::remove(const Job& job)
{
    m_changed.erase(&job);
    if (const auto found = m_contributions.find(&job); found != m_contributions.end()) {
        subtract(found->second);
        m_contributions.erase(found);
    }
}

void PoolDemandIndex::add(const Contribution& contribution)
{
    auto& sums = m_sums[contribution.service];
    ++sums.jobs;
    for (const auto& [label, need] : contribution.need) {
        auto& part = sums.byLabel[label];
        ++part.parts;
        part.need += need;
    }
    for (const auto& [label, hosts] : contribution.minInstances) {
        auto& part = sums.byLabel[label];
        ++part.parts;
        part.minInstances.insert(hosts);
    }
    m_changedServices.insert(contribution.service);
}

void PoolDemandIndex::subtract(const Contribution& contribution)
{
    const auto found = m_sums.find(contribution.service);
    auto& sums = found->second;
    for (const auto& [label, need] : contribution.need) {
        auto& part = sums.byLabel.at(label);
        --part.parts;
        part.need -= need;
    }
    for (const auto& [label, hosts] : contribution.minInstances) {
        auto& part = sums.byLabel.at(label);
        --part.parts;
        part.minInstances.erase(part.minInstances.find(hosts));
    }
    std::erase_if(sums.byLabel, [](const auto& entry) { return !entry.second.parts; });
    m_changedServices.insert(contribution.service);
    if (!--sums.jobs)
        m_sums.erase(found);
}

void PoolDemandIndex::updateDemand(const ServiceId& service)
{
    const auto sums = m_sums.find(service);
    if (sums == m_sums.end()) {
        m_demands.erase(service);
        return;
    }
    auto& demand = m_demands[service] = {};
    for (const auto& [label, part] : sums->second.byLabel) {
        auto& total = label.empty() ? demand.total : demand.byLabel[label];
        total.need = part.need;
        if (!part.minInstances.empty())
            total.minInstances = *part.minInstances.rbegin();
    }
}

const std::map<ServiceId, PoolDemand>& PoolDemandIndex::demands(const FleetBounds& bounds)
{
    if (bounds != m_bounds) {
        m_bounds = bounds;
        for (const auto& [job, contribution] : m_contributions)
            m_changed.insert(job);
    }
    for (const auto* job : m_changed) {
        const auto [position, isNew] = m_contributions.try_emplace(job);
        if (!isNew)
            subtract(position->second);
        position->second = contribution(*job);
        add(position->second);
    }
    m_changed.clear();
    for (const auto& service : std::exchange(m_changedServices, {}))
        updateDemand(service);
    return m_demands;
}

} // namespace marigoldlink
