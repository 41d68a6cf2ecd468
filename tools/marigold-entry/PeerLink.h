// Messages between entry instances: heartbeats, relayed configuration, claims, outcomes and forwarded requests.
#pragma once

#include "../common/ConfigSync.h"
#include "Dispatcher.h"
#include "Membership.h"
#include "marigoldlink/Coordination/Claims.h"
#include "marigoldlink/Protocol/Generated/Peer_types.h"

#include <variant>

namespace marigoldlink {

// Response of the owner to a claim. If wasReached is false, the owner did not respond.
struct ClaimReplyResult {
    bool wasReached { false };
    ClaimAnswer answer;
};

// Outcome of an attempt as reported by its claimant.
struct AttemptOutcome {
    bool isKnown { false };
    bool isRunning { false };
    bool hasAnswer { false };
    JobOutcome outcome;
};

class PeerLink final : public PeerLoad {
public:
    struct Hooks {
        std::function<void(wire::Heartbeat&)> fillLoad;
        std::function<std::variant<QueueTicket, ErrorKind>(JobRequest, std::function<void(JobOutcome)>)> runForwarded;
        std::function<void(QueueTicket, const std::function<void()>& onCancelled)> cancel;
        std::function<AttemptOutcome(const Claim&)> attemptOutcome;
        std::function<void()> onChange;
    };

    PeerLink(
        EventLoop&, HttpClient&, Membership&, ConfigSync&, ConfigFreshness&, Duration heartbeat, Duration claimWindow);

    void start(Hooks);
    // Restarts without claims. Called after a new holder id was assigned.
    void reset();

    // Serves one message of a peer.
    void handle(const HttpRequest&, HttpResponderPtr);

    // Adopts a changed member record and hands over claims to their new owners.
    void membersChanged();
    bool hasHandedOver() const { return m_pendingHandovers == 0; }

    std::optional<HolderId> owner(const RequestId& request) const { return m_ledger.owner(request); }
    void claim(const Claim&, std::function<void(ClaimReplyResult)>);
    // Reports the end of an attempt to the owner. A release states that the attempt did not run.
    void reportClaimEnd(const Claim&, bool isRelease);
    void fetchOutcome(const Claim&, std::function<void(std::optional<AttemptOutcome>)>);

    // True once the configuration was compared with that of every other member, except members that did not respond
    // within s_configComparisonTimeout.
    bool isConfigCompared();

    // Maximum time between two heartbeat exchanges with a member if no message is lost.
    Duration exchangePeriod() const;

    // Time of the last heartbeat from the member, or the time when it became known if there was none.
    TimePoint lastAnswer(HolderId) const;

    Slots runningOnPeers(const TeamId&) const override;
    std::map<TeamId, bool> teamsOnPeers() const override;
    bool lacksEscrowOnPeers(const TeamId&) const override;
    std::optional<HolderId> selectPeer(const PoolId&, const TeamId&, bool isBelowLimit) const override;
    ForwardId forward(HolderId, const JobRequest&, Duration remaining, std::function<void(JobOutcome)>) override;
    void cancelForwarded(ForwardId, std::function<void()>) override;
    void releaseForwarded(ForwardId) override;

private:
    struct Peer {
        TimePoint lastAnswerAt;
        TimePoint knownSince;
        bool hasAnswered { false };
        bool isHeartbeatPending { false };
        // Sequence numbers that bound the age of a received heartbeat: it was made after the heartbeat that it
        // acknowledges was sent.
        std::int64_t lastSentSequence { 0 };
        TimePoint lastSentAt;
        std::int64_t lastReceivedSequence { 0 };
        DataCenterId dataCenter;
        std::map<PoolId, Slots> freeSlots;
        struct Load {
            Slots running { 0 };
            Slots idleEscrow { 0 };
            bool isShort { false };
            bool isQueued { false };
        };
        std::map<TeamId, Load> teams;
    };

    template <typename Message>
    void send(
        HolderId, const std::string& name, const Message&, Duration timeout, std::function<void(HttpResult)> callback);
    void sendHeartbeats();
    void sendHeartbeatTo(const Member&);
    wire::Heartbeat ownHeartbeat(HolderId to);
    void handleHeartbeat(const wire::Heartbeat&);
    bool initiatesExchangeWith(HolderId) const;
    bool isInOwnDataCenter(const Member&) const;
    void fetchConfig(HolderId);
    void fetchMembers(HolderId);
    void deliver(ClaimHandover);
    bool isFresh(const Peer&) const;
    void aggregatePeerLoads();

    void endForward(ForwardId, bool isRequestEnded);
    void sendForwardCancel(ForwardId);
    void confirmForwardCancel(ForwardId);
    void serveHeartbeat(const std::string& body, HttpResponder&);
    void serveConfig(const std::string& body, HttpResponder&);
    void serveClaim(const std::string& body, HttpResponder&);
    void serveClaimEnd(const std::string& body, HttpResponder&);
    void serveHandover(const std::string& body, HttpResponder&);
    void serveOutcome(const std::string& body, HttpResponder&);
    void serveForward(const std::string& body, HttpResponderPtr);
    void serveForwardCancel(const std::string& body, const HttpResponderPtr&);

    EventLoop& m_loop;
    HttpClient& m_client;
    Membership& m_membership;
    ConfigSync& m_config;
    ConfigFreshness& m_freshness;
    Duration m_heartbeat;
    Duration m_claimWindow;
    Hooks m_hooks;
    ClaimLedger m_ledger;
    std::map<HolderId, Peer> m_peers;
    std::map<TeamId, Slots> m_runningOnPeers;
    std::set<TeamId> m_teamsLackingEscrow;
    std::size_t m_nextRemotePeer { 0 };
    // A request forwarded to a peer that has not reported its end.
    struct Forwarding {
        HolderId sender; // holder id of this process when it forwarded
        HolderId receiver;
        // The call has ended without the end of the request. The peer may run or start it nevertheless.
        bool isUnknown { false };
        bool isCancelling { false };
        bool isCancelConfirmed { false };
        std::vector<std::function<void()>> onCancelled;
    };
    std::map<ForwardId, Forwarding> m_forwardings;
    std::uint64_t m_nextForward { 1 };
    struct ReceivedForward {
        QueueTicket ticket {};
        std::optional<TimePoint> answeredAt;
    };
    // Requests forwarded by peers. One that was answered with WorkerLost, whose task may run, is kept for a while.
    std::map<std::pair<HolderId, ForwardId>, ReceivedForward> m_received;
    // Cancelled requests that were not in m_received, by the time of the cancelling. They are refused if they arrive.
    std::map<std::pair<HolderId, ForwardId>, TimePoint> m_cancelledBeforeArrival;
    int m_pendingHandovers { 0 };
    bool m_isConfigCompared { false };
};

} // namespace marigoldlink
