// Treaps of waiting steps with the smallest needs of each subtree.
#include "marigoldlink/Coordination/ReadyIndex.h"

#include "marigoldlink/Coordination/JobTable.h"

#include <algorithm>
#include <tuple>

namespace marigoldlink {

namespace {

    using Node = ReadyTree::Node;

    bool isBefore(const Node& left, const Node& right)
    {
        const auto rest
            = [](const WaitingStep& entry) { return std::tie(entry.job->spec.id, entry.occurrence, entry.step); };
        return left.entry.objective != right.entry.objective ? left.entry.objective < right.entry.objective
                                                             : rest(left.entry) < rest(right.entry);
    }

    void include(ReadyTree::Needs& least, const ReadyTree::Needs& other)
    {
        least.reserved = elementwiseMin(least.reserved, other.reserved);
        least.need = elementwiseMin(least.need, other.need);
    }

    void updateLeast(Node& node)
    {
        node.least = node.own;
        if (node.left)
            include(node.least, node.left->least);
        if (node.right)
            include(node.least, node.right->least);
    }

    // Splits a tree into the nodes before the given one and the others.
    std::pair<Node*, Node*> split(Node* root, const Node& at)
    {
        if (!root)
            return {};
        if (isBefore(*root, at)) {
            const auto [before, after] = split(root->right, at);
            root->right = before;
            updateLeast(*root);
            return { root, after };
        }
        const auto [before, after] = split(root->left, at);
        root->left = after;
        updateLeast(*root);
        return { before, root };
    }

    // Joins two trees. All nodes of the first precede those of the second.
    Node* join(Node* first, Node* second)
    {
        if (!first || !second)
            return first ? first : second;
        if (first->rank > second->rank) {
            first->right = join(first->right, second);
            updateLeast(*first);
            return first;
        }
        second->left = join(first, second->left);
        updateLeast(*second);
        return second;
    }

    Node* insertInto(Node* root, Node& node)
    {
        if (root && root->rank >= node.rank) {
            auto*& child = isBefore(node, *root) ? root->left : root->right;
            child = insertInto(child, node);
            updateLeast(*root);
            return root;
        }
        std::tie(node.left, node.right) = split(root, node);
        updateLeast(node);
        return &node;
    }

    Node* eraseFrom(Node* root, const Node& node)
    {
        if (root == &node)
            return join(root->left, root->right);
        auto*& child = isBefore(node, *root) ? root->left : root->right;
        child = eraseFrom(child, node);
        updateLeast(*root);
        return root;
    }

    const Node* firstAfter(const Node* root, const Node* previous, const ReadyTree::Skip& skip)
    {
        if (!root || skip(root->least))
            return nullptr;
        if (previous && !isBefore(*previous, *root))
            return firstAfter(root->right, root == previous ? nullptr : previous, skip);
        if (const auto* found = firstAfter(root->left, previous, skip))
            return found;
        return skip(root->own) ? firstAfter(root->right, nullptr, skip) : root;
    }

} // namespace

const StepSpec& WaitingStep::spec() const { return job->spec.steps[static_cast<std::size_t>(step)]; }

void ReadyTree::insert(Node& node)
{
    node.left = node.right = nullptr;
    m_root = insertInto(m_root, node);
}

void ReadyTree::erase(Node& node) { m_root = eraseFrom(m_root, node); }

const ReadyTree::Node* ReadyTree::next(const Node* previous, const Skip& skip) const
{
    return firstAfter(m_root, previous, skip);
}

bool ReadyIndex::GroupKey::matches(const Job& job, const StepSpec& spec) const
{
    return priority == job.queue.priority && isService == spec.isService && team == job.spec.team
        && queue == job.spec.queue && needsAdvice == job.queue.needsAdvice && wasAcceptedHere == job.wasAcceptedHere
        && requiredLabel == spec.requiredLabel && gangTasks == (spec.isGang ? spec.tasks : 0)
        && (!spec.isGang || (gangMaxPerWorker == spec.maxPerWorker && gangNeed == spec.reserved()));
}

bool ReadyIndex::KeyLess::operator()(const GroupKey& left, const GroupKey& right) const
{
    const auto fields = [](const GroupKey& key) {
        return std::tie(key.priority, key.isService, key.team, key.queue, key.needsAdvice, key.wasAcceptedHere,
            key.requiredLabel, key.gangTasks, key.gangMaxPerWorker, key.gangNeed.milliCores,
            key.gangNeed.memoryMegabytes, key.gangNeed.accelerators);
    };
    return fields(left) < fields(right);
}

const Job& ReadyIndex::Group::anyJob() const
{
    const auto& tree = trees[0].isEmpty() ? trees[1] : trees[0];
    return *tree.any()->entry.job;
}

void ReadyIndex::Group::updateLeast()
{
    const auto* onTime = trees[0].least();
    const auto* late = trees[1].least();
    if (!onTime && !late)
        return;
    least = onTime ? *onTime : *late;
    if (onTime && late)
        include(least, *late);
}

ReadyIndex::Lateness ReadyIndex::latenessOf(const Entry& entry) const
{
    return entry.node.entry.latestStart < m_now ? Lateness::Late : Lateness::OnTime;
}

bool ReadyIndex::isUnchanged(
    const Job& job, const std::vector<std::unique_ptr<Entry>>& entries, const std::vector<WaitingStep>& steps) const
{
    return std::equal(
        entries.begin(), entries.end(), steps.begin(), steps.end(), [&](const auto& entry, const auto& step) {
            return entry->node.entry == step && *entry->service == job.queue.service
                && entry->key->matches(job, step.spec());
        });
}

void ReadyIndex::update(const Job& job, const std::vector<WaitingStep>& steps)
{
    const auto found = m_entries.find(&job);
    if (found == m_entries.end() && steps.empty())
        return;
    auto& entries = found == m_entries.end() ? m_entries[&job] : found->second;
    if (isUnchanged(job, entries, steps))
        return;
    for (const auto& entry : entries)
        erase(*entry);
    entries.clear();
    for (const auto& step : steps)
        entries.push_back(insert(job, step));
    if (entries.empty())
        m_entries.erase(&job);
}

void ReadyIndex::remove(const Job& job) { update(job, {}); }

std::unique_ptr<ReadyIndex::Entry> ReadyIndex::insert(const Job& job, const WaitingStep& step)
{
    const auto& spec = step.spec();
    GroupKey key { job.queue.priority, spec.isService, job.spec.team, job.spec.queue, job.queue.needsAdvice,
        job.wasAcceptedHere, spec.requiredLabel, 0, 0, {} };
    if (spec.isGang) {
        key.gangTasks = spec.tasks;
        key.gangMaxPerWorker = spec.maxPerWorker;
        key.gangNeed = spec.reserved();
    }
    const auto service = m_services.try_emplace(job.queue.service).first;
    const auto group = service->second.try_emplace(std::move(key)).first;
    auto entry = std::make_unique<Entry>();
    entry->service = &service->first;
    entry->key = &group->first;
    entry->group = &group->second;
    entry->node.entry = step;
    entry->node.own = { spec.reserved(), spec.need };
    // The multiplier of a linear congruential generator whose high bits are random enough to balance the trees.
    m_random = m_random * 6364136223846793005ull + 1442695040888963407ull;
    entry->node.rank = m_random >> 16;
    entry->lateness = latenessOf(*entry);
    entry->group->trees[static_cast<std::size_t>(entry->lateness)].insert(entry->node);
    entry->group->updateLeast();
    m_byLatestStart.emplace(step.latestStart, entry.get());
    return entry;
}

void ReadyIndex::erase(Entry& entry)
{
    m_byLatestStart.erase({ entry.node.entry.latestStart, &entry });
    entry.group->trees[static_cast<std::size_t>(entry.lateness)].erase(entry.node);
    entry.group->updateLeast();
    if (!entry.group->isEmpty())
        return;
    const auto service = m_services.find(*entry.service);
    service->second.erase(service->second.find(*entry.key));
    if (service->second.empty())
        m_services.erase(service);
}

void ReadyIndex::advance(TimePoint now)
{
    const auto [first, last] = std::minmax(m_now, now);
    auto entry = m_byLatestStart.lower_bound({ first, nullptr });
    m_now = now;
    for (; entry != m_byLatestStart.end() && entry->first < last; ++entry) {
        auto& moved = *entry->second;
        moved.group->trees[static_cast<std::size_t>(moved.lateness)].erase(moved.node);
        moved.lateness = latenessOf(moved);
        moved.group->trees[static_cast<std::size_t>(moved.lateness)].insert(moved.node);
    }
}

} // namespace marigoldlink
