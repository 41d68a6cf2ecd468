// HTTP interface for callers: validates a request, claims its id, queues it and sends the complete response.
#pragma once

#include "../common/ConfigSync.h"
#include "AttemptLog.h"
#include "Dispatcher.h"
#include "EntrySettings.h"
#include "PeerLink.h"

namespace marigoldlink {

class CallerApi {
public:
    CallerApi(
        EventLoop&, const EntrySettings&, Membership&, ConfigSync&, ConfigFreshness&, Dispatcher&, PeerLink&, Metrics&);

    // Serves POST /v1/queues/QUEUE/tasks and POST /v1/requests/ID/cancel.
    void handle(const HttpRequest&, HttpResponderPtr);

    // Refuses all new requests from now on.
    void stopAccepting() { m_isStopping = true; }
    bool isIdle() const { return m_open == 0; }

    // Returns the outcome of an attempt of this process. Called for peers.
    AttemptOutcome attemptOutcome(const Claim&) const;
    // Queues a request forwarded by a peer. Returns its ticket, or the error if it cannot be queued.
    std::variant<QueueTicket, ErrorKind> runForwarded(JobRequest, std::function<void(JobOutcome)>);

private:
    struct Call {
        HttpResponderPtr responder;
        JobRequest request;
        RequestId id;
        std::optional<Claim> claim;
        int claimTries { 0 };
        // True while an earlier attempt holds the id. This call does not run then.
        bool hasEarlierAttempt { false };
        // Set once the request was cancelled. From then on it must not be queued.
        bool isCancelled { false };
        std::optional<QueueTicket> ticket;
    };
    using CallPtr = std::shared_ptr<Call>;
    using CallKey = std::pair<TeamId, RequestId>;

    JobRequest validateRequest(const HttpRequest&) const;
    TeamId authenticated(const HttpRequest&) const;
    void serveTask(const HttpRequest&, const HttpResponderPtr&);
    void serveCancel(const HttpRequest&, const HttpResponderPtr&);
    void claimThenSubmit(const CallPtr&);
    void handleClaimReply(const CallPtr&, const ClaimReplyResult&);
    void retryClaim(const CallPtr&, ErrorKind otherwise);
    void handleEarlierOutcome(const CallPtr&, const Claim&, const std::optional<AttemptOutcome>&);
    void submit(const CallPtr&);
    void answer(const CallPtr&, const JobOutcome&);
    void unregister(const CallPtr&);
    void refuse(HttpResponder&, ErrorKind, const std::string& message);

    EventLoop& m_loop;
    const EntrySettings& m_settings;
    Membership& m_membership;
    ConfigSync& m_config;
    ConfigFreshness& m_freshness;
    Dispatcher& m_dispatcher;
    PeerLink& m_peers;
    Metrics& m_metrics;
    AttemptLog m_attempts;
    // All unanswered calls that have an id, for cancellation. Several calls may have the same id.
    std::multimap<CallKey, CallPtr> m_calls;
    bool m_isStopping { false };
    std::size_t m_open { 0 };
};

} // namespace marigoldlink
