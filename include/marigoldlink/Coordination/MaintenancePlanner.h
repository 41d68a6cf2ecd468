// Plans maintenance waves: which instances to reserve and which to maintain next.
//
// An instance is first reserved, so that it gets no new tasks. Its maintenance begins once the tasks that end by
// themselves have ended or the drain timeout has passed, but only while the services that run there can do without it.
// An instance counts as under maintenance from the call until it is known to be up again.
#pragma once

#include "marigoldlink/State/Fleet.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace marigoldlink {

// Tasks that would end if the instance went into maintenance now.
struct InstanceLoad {
    int tasks { 0 }; // tasks that end by themselves
    int services { 0 }; // tasks of services that tolerate the absence of some
    bool mayStopServices { true }; // each of the services can do without its tasks there
    bool isKnown { true }; // false while the worker there may hold further tasks
    bool isIdle() const { return isKnown && !tasks && !services; }
};

struct MaintenanceStep {
    WaveId wave;
    std::int64_t number { 0 };
    std::string instance;
};

class MaintenancePlanner {
public:
    using LoadOf = std::function<InstanceLoad(const std::string& instance)>;
    // Whether the services of an instance that may not be stopped now can leave it while nothing is started on the
    // instances that are in draining() by then.
    using CanDrain = std::function<bool(const std::string& instance)>;

    struct Limits {
        Duration maintenanceDuration { 2000 };
        Duration drainTimeout { 1500 }; // time that an instance stays reserved before its tasks are ended
    };

    explicit MaintenancePlanner(Limits limits)
        : m_limits(limits)
    {
    }

    // Sets the waves that operators request now.
    void setWaves(const std::map<WaveId, MaintenanceWave>&);
    void restore(const WaveId&, std::set<std::string> finished);

    // A list of the instances was read, asked for at the given time. A list may leave out an instance that stays, and
    // may be older than a wave, so an instance counts as gone only once the lists over some time have left it out.
    void instancesListed(const std::map<std::string, FleetInstance>& instances, TimePoint askedAt);

    // Chooses the instances to maintain now, given the last list. Those that are to follow are in reserved().
    std::vector<MaintenanceStep> plan(
        const std::map<std::string, FleetInstance>& instances, const LoadOf&, TimePoint now,
        const CanDrain& = [](const std::string&) { return true; });

    // A maintenance call for the instance was sent, and later accepted or rejected. A call serves only the wave that it
    // names: an instance that is in several waves is maintained once for each of them.
    void callSent(const WaveId&, const std::string& instance, TimePoint now);
    void callAccepted(const WaveId&, const std::string& instance, TimePoint now);
    void callRejected(const std::string& instance, TimePoint now);
    // The call had no answer. The instance counts as under maintenance and the call is planned again for the same wave,
    // which is safe since the call is idempotent.
    void callUnanswered(const WaveId&, const std::string& instance, TimePoint now);

    // The next instances of the waves. Other instances have to make up for them.
    const std::set<std::string>& reserved() const { return m_reserved; }
    // Those of reserved() whose tasks can leave, so that nothing must be started on them. The others would wait for
    // room for their tasks, and the tasks that fit only there would wait for them.
    const std::set<std::string>& draining() const { return m_draining; }
    bool isUnderMaintenance(const std::string& instance) const { return m_underMaintenance.contains(instance); }
    bool hasWork() const;
    // The instances that some wave still has to maintain.
    std::unordered_set<std::string> dueInstances() const;

    // Returns the waves whose progress or completion has changed since the last call.
    struct Change {
        WaveId wave;
        std::set<std::string> finished;
        bool isComplete { false };
    };
    std::vector<Change> takeChanges();

private:
    // The lists in a row that left an instance out.
    struct Absence {
        TimePoint since; // when the first one was asked for
        int lists { 0 };
    };
    struct WaveState {
        MaintenanceWave wave;
        bool isRequested { false }; // operators request it now
        std::set<std::string> finished; // instances whose maintenance for this wave was accepted
        std::map<std::string, Absence> missing; // instances that the last list left out
        std::set<std::string> gone; // those that lists have left out for long enough
        bool isComplete { false };
        bool hasChanged { false };
    };
    struct MaintenanceCall {
        WaveId wave;
        TimePoint sentAt; // of the last call; once accepted, when the answer arrived
        bool isAccepted { false };
        std::optional<TimePoint> unansweredSentAt; // of the last call that had no answer
        std::optional<TimePoint> retryAt; // when the call is sent again
    };

    int countUnderMaintenance(const WaveState&) const;
    bool isUnderMaintenanceFor(const WaveId&, const std::string& instance) const;
    // Whether the call can have no further effect on the instance, which the list shows as up or leaves out.
    bool hasEnded(const MaintenanceCall&, TimePoint now) const;
    void updateCompletion(const WaveId&, WaveState&);
    bool isGone(const MaintenanceCall&, const std::string& instance) const;

    Limits m_limits;
    std::map<WaveId, WaveState> m_waves;
    std::map<std::string, MaintenanceCall> m_underMaintenance; // called, and not yet known to be up again
    std::map<std::string, TimePoint> m_reservedSince;
    std::map<std::string, TimePoint> m_retryNotBefore; // earliest next call, after a rejected one
    std::set<std::string> m_reserved;
    std::set<std::string> m_draining; // invariant: a subset of m_reserved
};

} // namespace marigoldlink
