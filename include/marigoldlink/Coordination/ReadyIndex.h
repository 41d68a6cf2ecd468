// Steps with waiting tasks, ordered so that a placement pass reads only those that it may start.
//
// Steps are grouped by what decides where they may run and who pays for them, and ordered within a group by objective.
// Each subtree of a group's trees knows the smallest needs in it, so steps for which there is no room are skipped
// without being read. JobTable updates the index with each change of a job.
#pragma once

#include "marigoldlink/State/Fleet.h"

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

namespace marigoldlink {

struct Job;

// A step of one occurrence whose predecessors are done and which has tasks that neither run nor are done.
struct WaitingStep {
    const Job* job { nullptr };
    int occurrence { 0 };
    int step { 0 };
    TimePoint objective; // of the occurrence
    TimePoint latestStart; // objective less the remaining path: the occurrence is late after this time
    int tasks { 0 }; // number of waiting tasks

    const StepSpec& spec() const;
    friend bool operator==(const WaitingStep&, const WaitingStep&) = default;
};

// Waiting steps in order of objective, job id, occurrence and step.
class ReadyTree {
public:
    // What one task needs: reserved on its worker, and counted against its team's limit.
    struct Needs {
        Resources reserved;
        Resources need;
    };
    // A search reads the first members of many nodes, so these share a line of the processor's cache.
    struct alignas(64) Node {
        Needs least; // smallest need of each resource in the subtree
        Node* left { nullptr };
        Node* right { nullptr };
        Needs own;
        std::uint64_t rank { 0 }; // random; parents have higher ranks than their children
        WaitingStep entry;
    };
    // True if no step with at least these needs can start.
    using Skip = std::function<bool(const Needs&)>;

    void insert(Node&);
    void erase(Node&);
    bool isEmpty() const { return !m_root; }
    // Smallest needs of all steps, or null if there are none.
    const Needs* least() const { return m_root ? &m_root->least : nullptr; }
    const Node* any() const { return m_root; }
    // Returns the first step after the given one that is not skipped, or null. Null as the first argument: from the
    // start.
    const Node* next(const Node* previous, const Skip&) const;

private:
    Node* m_root { nullptr };
};

class ReadyIndex {
public:
    // Steps with the same constraints, of the same queue and team.
    struct GroupKey {
        int priority { 0 };
        bool isService { false };
        TeamId team;
        QueueId queue;
        bool needsAdvice { false };
        bool wasAcceptedHere { false }; // of the job
        std::string requiredLabel;
        // Of gangs, 0 otherwise. All gangs of a group are alike, so if one finds no room, none does.
        int gangTasks { 0 };
        int gangMaxPerWorker { 0 };
        Resources gangNeed;

        bool matches(const Job&, const StepSpec&) const;
    };
    struct KeyLess {
        bool operator()(const GroupKey&, const GroupKey&) const;
    };
    enum class Lateness { OnTime, Late };
    static constexpr std::size_t latenessCount = 2;
    struct Group {
        ReadyTree trees[latenessCount]; // by Lateness
        ReadyTree::Needs least; // smallest needs of all steps; invariant: of a group that is not empty

        const ReadyTree& tree(Lateness lateness) const { return trees[static_cast<std::size_t>(lateness)]; }
        bool isEmpty() const { return trees[0].isEmpty() && trees[1].isEmpty(); }
        const Job& anyJob() const;
        void updateLeast();
    };
    using Groups = std::map<GroupKey, Group, KeyLess>;

    ReadyIndex() = default;
    ReadyIndex(const ReadyIndex&) = delete;
    ReadyIndex& operator=(const ReadyIndex&) = delete;

    // Replaces the steps of the job.
    void update(const Job&, const std::vector<WaitingStep>&);
    void remove(const Job&);
    // Moves the steps whose latest start lies between the last call's time and this one between the trees.
    void advance(TimePoint now);
    // The groups with waiting steps, by service.
    const std::map<ServiceId, Groups>& services() const { return m_services; }

private:
    struct Entry {
        ReadyTree::Node node;
        const ServiceId* service { nullptr };
        const GroupKey* key { nullptr };
        Group* group { nullptr };
        Lateness lateness { Lateness::OnTime };
    };

    Lateness latenessOf(const Entry&) const;
    bool isUnchanged(const Job&, const std::vector<std::unique_ptr<Entry>>&, const std::vector<WaitingStep>&) const;
    std::unique_ptr<Entry> insert(const Job&, const WaitingStep&);
    void erase(Entry&);

    std::map<ServiceId, Groups> m_services; // invariant: no group is empty
    std::unordered_map<const Job*, std::vector<std::unique_ptr<Entry>>> m_entries;
    std::set<std::pair<TimePoint, Entry*>> m_byLatestStart; // invariant: all entries
    TimePoint m_now; // invariant: exactly the entries with an earlier latest start are late
    std::uint64_t m_random { 1 };
};

} // namespace marigoldlink
