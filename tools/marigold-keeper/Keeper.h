// The keeper: plans capacity and maintenance round by round and writes the changes by compare-and-swap.
#pragma once

#include "../common/ConfigSync.h"
#include "KeeperSettings.h"
#include "marigoldlink/Coordination/FleetPlanner.h"
#include "marigoldlink/Coordination/ServiceBudget.h"
#include "marigoldlink/Transport/HttpServer.h"
#include "marigoldlink/Transport/HttpWorkers.h"

namespace marigoldlink {

class Keeper {
public:
    Keeper(EventLoop&, KeeperSettings);

    Endpoint start();

private:
    struct Drain {
        std::uint64_t epoch { 0 };
        TimePoint since;
    };

    void round();
    void takeTurn();
    void readRecords();
    void readList();
    void probe();
    void plan();
    void write(const InstanceChange&);
    void reboot(const InstanceRecord&);
    void noteDrains();
    bool hasTurn() const;
    void accountBudgets();
    void readBudgets();
    void writeBudget(const ServiceId&, double amount);
    void answerStatus(HttpResponder&) const;

    EventLoop& m_loop;
    KeeperSettings m_settings;
    HttpClient m_client;
    HttpPlatform m_platform;
    HttpWorkers m_workers;
    Freshness m_freshness;
    ConfigSync m_config;
    HttpServer m_server;
    FleetPlanner m_planner;
    FleetView m_view;
    std::map<InstanceId, Revision> m_revisions;
    Revision m_watchedTo { noRevision };
    std::map<InstanceId, Drain> m_drains;
    BudgetMeter m_meter;
    std::map<ServiceId, double> m_spent; // of the present window, by the records
    // Lease on the work of all keepers. It only saves work: safety rests on the compare-and-swap of each record.
    std::string m_turnSeen;
    TimePoint m_turnSeenAt;
    bool m_hasTurn { false };
    std::uint64_t m_turnCount { 0 };
    std::string m_name;
    std::map<std::string, std::uint64_t> m_changes;
};

} // namespace marigoldlink
