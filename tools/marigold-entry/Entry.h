// One entry instance: owns and connects its components, joins the member record, removes dead members, and shuts down
// gracefully.
#pragma once

#include "CallerApi.h"
#include "EntrySettings.h"
#include "EscrowSync.h"
#include "Membership.h"
#include "PeerLink.h"
#include "WorkerLeases.h"

namespace marigoldlink {

class Entry {
public:
    Entry(EventLoop&, EntrySettings);

    // Starts listening and returns the bound endpoint.
    Endpoint start();

    // Graceful shutdown: reports not ready, finishes all requests, hands over claims, returns escrow, and stops the
    // event loop once the connections of all clients have ended.
    void stop();

private:
    enum class Stage { Starting, Serving, Draining, HandingOver };

    void handle(const HttpRequest&, HttpResponderPtr);
    void answerStatus(HttpResponder&) const;
    void join();
    void configChanged();
    void membersChanged();
    void fillLoad(wire::Heartbeat&) const;
    TeamLimit limit(const TeamId&) const;
    EscrowDemand demand(const TeamId&) const;
    void syncNextTeam();
    void checkMemberLiveness();
    void removeMember(HolderId);
    void pollLeasesOfMember(HolderId, const DataCenterId&, std::uint64_t markedAt);
    void waitUntilDrained();
    void handOver();
    void waitUntilHandedOver();
    void closeConnections();

    EventLoop& m_loop;
    EntrySettings m_settings;
    HttpClient m_client;
    HttpPlatform m_platform;
    HttpWorkers m_workers;
    ConfigFreshness m_freshness;
    Metrics m_metrics;
    ConfigSync m_config;
    std::unique_ptr<Membership> m_membership;
    std::unique_ptr<WorkerLeases> m_leases;
    std::unique_ptr<EscrowSync> m_escrow;
    std::unique_ptr<PeerLink> m_peers;
    std::unique_ptr<Dispatcher> m_dispatcher;
    std::unique_ptr<CallerApi> m_callers;
    ConnectionGuard m_guard;
    HttpServer m_server;
    Endpoint m_endpoint;
    Stage m_stage { Stage::Starting };
    std::set<HolderId> m_pendingRemovals; // members that this process is removing
    bool m_isJoining { false };
    bool m_isCancellingRemoval { false };
    TeamId m_lastSyncedTeam;
};

} // namespace marigoldlink
