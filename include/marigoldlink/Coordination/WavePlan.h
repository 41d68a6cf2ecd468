// Maintenance waves: which instance is kept free and which goes next.
//
// An instance is first kept free of new tasks, then maintained once it is empty, or once the wave's time grows short
// and the services that run there can spare it. What has begun and is not surely back counts as away.
#pragma once

#include "marigoldlink/State/Fleet.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marigoldlink {

// What would end if an instance were taken away now.
struct WaveLoad {
    int tasks { 0 }; // that end by themselves
    int services { 0 }; // tasks of services that may miss some
    bool mayEndServices { true }; // each service can spare what it has there
    bool isIdle() const { return !tasks && !services; }
};

struct WaveStep {
    WaveId wave;
    std::int64_t number { 0 };
    std::string instance;
};

class WavePlan {
public:
    using LoadOf = std::function<WaveLoad(const std::string& instance)>;

    struct Limits {
        Duration away { 2000 }; // maintenance takes this long
        Duration patience { 1500 }; // an instance is kept free this long before tasks are ended for it
    };

    explicit WavePlan(Limits limits)
        : m_limits(limits)
    {
    }

    // Takes the waves asked for.
    void setWaves(const std::map<WaveId, MaintenanceWave>&);
    void restore(const WaveId&, std::set<std::string> finished);

    // Chooses the instances to maintain now. Those that wait for their turn are in reserved().
    std::vector<WaveStep> plan(const std::map<std::string, FleetInstance>& instances, const LoadOf&, TimePoint now);

    // A call for the instance was sent, and later was answered.
    void begun(const WaveId&, const std::string& instance, TimePoint now);
    void accepted(const std::string& instance, TimePoint now);
    void rejected(const std::string& instance, TimePoint now);
    // The call may have been carried out. It counts as such and is planned again, which is safe to repeat.
    void unanswered(const std::string& instance, TimePoint now);

    const std::set<std::string>& reserved() const { return m_reserved; }
    bool isAway(const std::string& instance) const { return m_away.contains(instance); }
    bool hasWork() const;
    // Whether some wave still has to come to the instance.
    bool isDue(const std::string& instance) const;

    // Waves whose record or state has changed since the last call.
    struct Change {
        WaveId wave;
        std::set<std::string> finished;
        bool isComplete { false };
    };
    std::vector<Change> takeChanges();

private:
    struct WaveState {
        MaintenanceWave wave;
        bool isKnown { false }; // operators ask for it now
        std::set<std::string> finished; // maintenance has begun, or the instance is gone
        bool isComplete { false };
        bool isChanged { false };
    };
    struct Away {
        TimePoint since;
        bool isAccepted { false };
        bool isUncertain { false }; // some call had no answer
        std::optional<TimePoint> repeatAt; // when the call is sent again
    };

    int awayIn(const WaveState&) const;
    void settle(WaveState&, const std::map<std::string, FleetInstance>&);

    Limits m_limits;
    std::map<WaveId, WaveState> m_waves;
    std::map<std::string, Away> m_away; // called for, and not surely back
    std::map<std::string, TimePoint> m_reservedSince;
    std::map<std::string, TimePoint> m_notBefore; // after a rejected call
    std::set<std::string> m_reserved;
};

} // namespace marigoldlink
