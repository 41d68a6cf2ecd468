// Messages between entry instances: heartbeats, relayed configuration, claims, outcomes and passed-on requests.
#pragma once

#include "../common/ConfigSync.h"
#include "Dispatcher.h"
#include "Membership.h"
#include "marigoldlink/Coordination/Claims.h"
#include "marigoldlink/Protocol/Generated/Peer_types.h"

namespace marigoldlink {

// Answer of an owner to a claim, or that the owner was not reached.
struct ClaimReplyResult {
    bool reached { false };
    ClaimAnswer answer;
};

// What a claimant says of one of its attempts.
struct AttemptOutcome {
    bool isKnown { false };
    bool isRunning { false };
    bool hasAnswer { false };
    JobOutcome outcome;
};

class PeerLink final : public PeerLoad {
public:
    struct Hooks {
        std::function<void(wire::Heartbeat&)> fillHeartbeat;
        std::function<std::optional<ErrorKind>(JobRequest, std::function<void(JobOutcome)>)> runForwarded;
        std::function<AttemptOutcome(const Claim&)> attemptOutcome;
        std::function<void()> onChange;
    };

    PeerLink(EventLoop&, HttpClient&, Membership&, ConfigSync&, Freshness&, Duration heartbeat, Duration claimWindow);

    void start(Hooks);
    // Starts again with empty claims, for a new holder id.
    void reset();

    // Serves one message of a peer.
    void handle(const HttpRequest&, HttpResponderPtr);

    // The member record changed: adopts it and hands over claims.
    void membersChanged();
    bool hasHandedOver() const { return m_undelivered == 0; }

    std::optional<HolderId> owner(const RequestId& request) const { return m_ledger.owner(request); }
    void claim(const Claim&, std::function<void(ClaimReplyResult)>);
    // Tells the owner how an attempt ended. A release says that it surely did not run.
    void endClaim(const Claim&, bool isRelease);
    void askOutcome(const Claim&, std::function<void(std::optional<AttemptOutcome>)>);

    // True once every other member answered, or had time to do so: the configuration is compared with theirs.
    bool isAcquainted();

    // Longest time between two exchanges with a member, when none is lost.
    Duration exchangePeriod() const;

    // When the member last answered a heartbeat, counted from when it was first known here.
    TimePoint lastAnswer(HolderId) const;

    Slots runningElsewhere(const TeamId&) const override;
    std::map<TeamId, bool> teamsElsewhere() const override;
    bool isShortElsewhere(const TeamId&) const override;
    std::optional<HolderId> peerFor(const PoolId&, const TeamId&, bool mayGrow) const override;
    void forward(HolderId, const JobRequest&, Duration remaining, std::function<void(JobOutcome)>) override;

private:
    struct Peer {
        TimePoint lastAnswerAt;
        TimePoint knownSince;
        bool hasAnswered { false };
        bool isAsked { false };
        // The receiver's proof of a message's age: it was made after the own message that it acknowledges.
        std::int64_t lastSent { 0 };
        TimePoint lastSentAt;
        std::int64_t lastSeen { 0 };
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
        HolderId, const std::string& name, const Message&, Duration timeout, std::function<void(HttpOutcome)> callback);
    void beat();
    void beatPeer(const Member&);
    wire::Heartbeat ownHeartbeat(HolderId to);
    void takeHeartbeat(const wire::Heartbeat&);
    bool initiatesTo(HolderId) const;
    bool isNear(const Member&) const;
    void fetchConfig(HolderId);
    void fetchMembers(HolderId);
    void deliver(ClaimHandover);
    bool isFresh(const Peer&) const;
    void sumLoads();

    void serveHeartbeat(const std::string& body, HttpResponder&);
    void serveConfig(const std::string& body, HttpResponder&);
    void serveClaim(const std::string& body, HttpResponder&);
    void serveClaimEnd(const std::string& body, HttpResponder&);
    void serveHandover(const std::string& body, HttpResponder&);
    void serveOutcome(const std::string& body, HttpResponder&);
    void serveForward(const std::string& body, HttpResponderPtr);

    EventLoop& m_loop;
    HttpClient& m_client;
    Membership& m_membership;
    ConfigSync& m_config;
    Freshness& m_freshness;
    Duration m_heartbeat;
    Duration m_claimWindow;
    Hooks m_hooks;
    ClaimLedger m_ledger;
    std::map<HolderId, Peer> m_peers;
    std::map<TeamId, Slots> m_runningElsewhere;
    std::set<TeamId> m_shortElsewhere;
    std::size_t m_rotation { 0 };
    int m_undelivered { 0 };
    bool m_isAcquainted { false };
};

} // namespace marigoldlink
