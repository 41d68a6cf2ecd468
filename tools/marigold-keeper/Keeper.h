// The keeper: plans capacity and maintenance in periodic cycles and writes the changes by compare-and-swap.
#pragma once

#include "../common/ConfigSync.h"
#include "KeeperSettings.h"
#include "marigoldlink/Coordination/AvailabilityBudget.h"
#include "marigoldlink/Coordination/FleetPlanner.h"
#include "marigoldlink/Transport/HttpServer.h"
#include "marigoldlink/Transport/HttpWorkers.h"

namespace marigoldlink {

class Keeper {
public:
    Keeper(EventLoop&, KeeperSettings);

    Endpoint start();

    // Plans no further changes, and stops the event loop once the connections of all clients have ended.
    void stop();

private:
    struct Drain {
        std::uint64_t epoch { 0 };
        TimePoint since;
    };

    void round();
    void renewLeadership();
    void watchInstanceRecords();
    void pollInstanceList();
    void probeInstances();
    void plan();
    void write(const InstanceChange&);
    void reboot(const InstanceRecord&);
    void trackDrains();
    bool isLeader() const;
    void updateBudgets();
    void syncBudgets();
    void writeBudget(const ServiceId&, double amount);
    void answerStatus(HttpResponder&) const;

    EventLoop& m_loop;
    KeeperSettings m_settings;
    HttpClient m_client;
    HttpPlatform m_platform;
    HttpWorkers m_workers;
    ConfigFreshness m_freshness;
    ConfigSync m_config;
    ConnectionGuard m_guard;
    HttpServer m_server;
    FleetPlanner m_planner;
    FleetView m_view;
    std::map<InstanceId, Revision> m_revisions;
    Revision m_watchedTo { noRevision };
    std::map<InstanceId, Drain> m_drains;
    BudgetMeter m_budgetMeter;
    std::map<ServiceId, double> m_spentBudgets; // of the current budget window, from the stored records
    // Leadership lease among the keepers. It only avoids duplicate work: safety relies on the compare-and-swap of each
    // record.
    std::string m_leaderValue;
    TimePoint m_leaderValueChangedAt;
    bool m_isLeader { false };
    bool m_isStopping { false };
    std::uint64_t m_leaderRenewals { 0 };
    std::string m_name;
    std::map<std::string, std::uint64_t> m_changes;
};

} // namespace marigoldlink
