// An entry instance: follows the operators' records, campaigns in the election, and forwards callers' calls to the
// coordinator, in this process or a peer.
#pragma once

#include "marigoldlink/Coordination/CoordinatorPreference.h"
#include "marigoldlink/Entry/CoordinatorRunner.h"
#include "marigoldlink/Entry/PeerCalls.h"
#include "marigoldlink/Transport/HttpClient.h"
#include "marigoldlink/Transport/HttpServer.h"

#include <map>
#include <memory>

namespace marigoldlink {

struct NodeSettings {
    Endpoint peers; // address at which this instance serves its peers
    CoordinatorSettings coordinator;
    double processors { 1 }; // cores available to this instance; may be a fraction
    Duration peerTimeout { 1000 }; // of one attempt to call the coordinator
    Duration maxWait { 2000 }; // time for which a call waits for a coordinator to be reachable
    HttpServer::Limits peerServer;
    std::optional<Duration> maxKeyRevocationDelay; // a revoked key is not accepted later than this; nullopt: no bound
};

// Result of a call for the gateway.
struct CallResult {
    enum class Kind {
        Answered, // reply holds the coordinator's reply
        NotReached, // the call had no effect
        Unknown, // the call may have taken effect
    };

    Kind kind { Kind::NotReached };
    Reply reply;
    int attempts { 0 }; // how often the call was passed to a coordinator
};

using CallCallback = std::function<void(const CallResult&)>;

template <FleetPlatform Platform> class FleetNode {
public:
    FleetNode(EventLoop& loop, Platform& platform, NodeSettings settings, CoordinatorSinks sinks)
        : m_loop(loop)
        , m_platform(platform)
        , m_settings(std::move(settings))
        , m_sinks(std::move(sinks))
        , m_client(loop)
        , m_server(loop, m_settings.peerServer,
              [this](
                  const HttpRequest& request, HttpResponderPtr responder) { servePeer(request, std::move(responder)); })
        , m_operatorFollower(loop, platform, platform.operatorPrefix(), {}, [this](const auto&) { operatorsChanged(); })
        , m_memberFollower(loop, platform, s_memberPrefix,
              { s_memberWatchWait, Duration(s_registerRetryMs), s_memberBatchDelay },
              [this](const auto&) { handOverIfPreferred(); })
        , m_preference(m_settings.processors, {})
        , m_election(
              loop, platform, m_settings.peers, { .ordersAfterLease = m_settings.coordinator.predecessorGracePeriod },
              [this](const Ownership& ownership) { elected(ownership); }, [this] { ownershipLost(); },
              [this] { ownerChanged(); }, [this] { return m_preference.campaignDelay(electionCandidates()); })
    {
    }

    void start()
    {
        m_server.listen(m_settings.peers);
        registerMember();
        m_memberFollower.start();
        m_operatorFollower.start();
        m_election.start();
        if (m_settings.maxKeyRevocationDelay)
            m_loop.every(Duration(s_keyHorizonCheckPeriodMs), [this] { checkKeyHorizon(); });
    }

    // Resigns as coordinator and campaigns no more. Callers' calls are still served.
    void stepDown()
    {
        m_hasSteppedDown = true;
        deregisterMember();
        m_election.stepDown();
    }

    // Ends all open calls with what is known about them. Later calls are not passed on.
    void finishCalls()
    {
        m_areCallsFinished = true;
        while (!m_calls.empty())
            finishUnanswered(m_calls.begin()->first);
    }

    // Accepts no more connections of peers.
    void stopListening() { m_server.stopListening(); }

    const OperatorState& operators() const { return m_operators; }
    // False while no authenticated request can be served.
    bool isReady() const { return m_operators.hasConfig() && areKeysCurrent() && !isPartitioned(); }
    // True if neither the key-value service nor a coordinator is reachable. The load balancer should then prefer other
    // instances; if all are partitioned, it uses all of them.
    bool isPartitioned() const
    {
        return !m_runner && !m_operatorFollower.isReachable() && m_unreachableSince
            && m_loop.now() - *m_unreachableSince > s_partitionedAfter;
    }
    // True if the view of the keys was confirmed within the key horizon. A request that has arrived was sent before
    // now, so every key revoked more than the horizon before it was sent is known here to be revoked. Pauses of the
    // process after the confirmation or before the answer do not change this.
    bool areKeysCurrent() const
    {
        return !m_settings.maxKeyRevocationDelay
            || m_loop.now() < m_operatorFollower.confirmedAt() + *m_settings.maxKeyRevocationDelay - s_clockSlack;
    }
    bool isCoordinator() const { return m_runner != nullptr; }

    // Forwards the call to the coordinator. The callback is called exactly once, within the given time.
    void call(FleetCallRequest request, Duration time, CallCallback callback)
    {
        if (m_areCallsFinished) {
            callback({});
            return;
        }
        const auto id = m_nextCall++;
        auto& pending = m_calls[id];
        pending.request = std::move(request);
        pending.callback = std::move(callback);
        pending.receivedAt = m_loop.now();
        pending.latest = pending.receivedAt + time;
        pending.timer = m_loop.after(std::min(time, m_settings.maxWait), [this, id] { expire(id); });
        attemptCall(id);
    }

private:
    struct PendingCall {
        FleetCallRequest request;
        CallCallback callback;
        EventLoop::Timer timer;
        TimePoint receivedAt;
        TimePoint latest; // deadline of the caller
        int attempts { 0 };
        bool isInFlight { false };
        bool mayHaveTakenEffect { false }; // some attempt had no answer and may have taken effect

        bool mayBeDone() const { return mayHaveTakenEffect || isInFlight; }
    };

    void operatorsChanged()
    {
        std::vector<StoredValue> values;
        for (const auto& [key, value] : m_operatorFollower.values())
            values.push_back(value);
        auto operators = m_platform.decodeOperators(values);
        if (operators.config.version < m_operators.config.version)
            operators.config = m_operators.config;
        const bool isNewVersion = operators.config.version != m_operators.config.version;
        m_operators = std::move(operators);
        if (isNewVersion)
            s_log.info(
                "Applied a new configuration version.", { { "version", std::to_string(m_operators.config.version) } });
        if (m_runner) {
            m_runner->coordinator().setOperators(m_operators, m_loop.now());
            m_runner->executeOrders();
        } else if (m_pendingOwnership && m_operators.hasConfig()) {
            elected(*m_pendingOwnership);
        }
    }

    void elected(const Ownership& ownership)
    {
        if (!m_operators.hasConfig()) {
            m_pendingOwnership = ownership;
            return;
        }
        m_pendingOwnership.reset();
        m_runner = std::make_shared<CoordinatorRunner<Platform>>(
            m_loop, m_platform, m_settings.coordinator, ownership, m_sinks,
            [this](CallToken token, const Reply& reply) { handleReply(token, reply); },
            [this] { m_election.resign(); });
        m_runner->setLeaseValidUntil(m_election.leaseValidUntil());
        m_runner->start(m_operators);
        awaitRunner();
    }

    void ownerChanged()
    {
        if (m_election.owner())
            m_unreachableSince.reset(); // the next call shows whether it is reachable
        if (m_runner)
            m_runner->setLeaseValidUntil(m_election.leaseValidUntil());
        retryCalls();
    }

    void awaitRunner()
    {
        if (!m_runner)
            return;
        if (m_runner->isReady()) {
            retryCalls();
            handOverIfPreferred();
            return;
        }
        m_loop.after(Duration(s_readyPollMs), [this] { awaitRunner(); });
    }

    void ownershipLost()
    {
        m_pendingOwnership.reset();
        if (!m_runner)
            return;
        m_runner->stop();
        // Platform calls in flight refer to the runner, so it is kept alive until they have timed out.
        m_loop.after(Duration(s_runnerLingerMs), [runner = std::move(m_runner)] {});
        m_runner.reset();
        for (auto& [token, waiting] : std::exchange(m_tokens, {}))
            waiting({ Reply::Kind::NotCoordinator, {}, 0, {} }, true);
    }

    // All registered entry instances, including this one.
    std::vector<ElectionCandidate> electionCandidates() const
    {
        std::vector<ElectionCandidate> electionCandidates;
        for (const auto& [key, value] : m_memberFollower.values())
            electionCandidates.push_back({ decodeMember(value.value), value.revision });
        return electionCandidates;
    }

    // A coordinator on a small instance resigns in favour of a larger one, after a delay in which that one can start.
    void handOverIfPreferred()
    {
        if (!m_runner || !m_runner->isReady() || !m_preference.shouldHandOver(electionCandidates()))
            return;
        m_loop.after(s_handoverDelay, [this] {
            if (!m_runner)
                return;
            s_log.info("Resigning in favour of a larger instance.");
            m_election.resign();
        });
    }

    // Logs when the key horizon is exceeded or met again, and refreshes the view from peers while the key-value service
    // is unreachable.
    void checkKeyHorizon()
    {
        const bool areCurrent = areKeysCurrent();
        if (m_areKeysCurrent != areCurrent && m_operatorFollower.isLoaded()) {
            m_areKeysCurrent = areCurrent;
            const auto age = std::to_string((m_loop.now() - m_operatorFollower.confirmedAt()).count());
            const auto version = std::to_string(m_operators.config.version);
            if (areCurrent)
                s_log.info("Keys are confirmed again.", { { "config", version }, { "age_ms", age } });
            else
                s_log.warning("Keys are not confirmed within the key horizon. Refusing authenticated requests.",
                    { { "config", version }, { "age_ms", age } });
        }
        if (!m_operatorFollower.isReachable())
            queryPeers();
    }

    // Peers: instances exchange their view of the fleet while the key-value service is unreachable.

    void registerMember()
    {
        if (m_hasSteppedDown)
            return;
        StoreWrite call;
        call.puts = { { memberKey(), encodeMember(m_settings.processors), StoreLease::None } };
        m_platform.write(call, [this](const StoreWriteResult& result) {
            if (result.status != StoreWriteStatus::Done) {
                m_loop.after(Duration(s_registerRetryMs), [this] { registerMember(); });
                return;
            }
            m_memberRevision = result.revision;
            if (m_hasSteppedDown)
                deregisterMember();
        });
    }

    // Otherwise smaller instances delay their campaign, and hand over, in favour of an instance that does not campaign.
    void deregisterMember()
    {
        if (m_memberRevision == noRevision)
            return;
        StoreWrite call;
        call.expected = { { memberKey(), m_memberRevision } }; // a later process may have registered at this address
        call.removals = { memberKey() };
        // If the call fails, the record remains, as that of a process which was killed does.
        m_platform.write(call, [](const StoreWriteResult&) {});
    }

    std::string memberKey() const { return s_memberPrefix + m_settings.peers.text(); }

    // Queries peers in rotation for the coordinator and the operators' records, at a limited rate.
    void queryPeers()
    {
        const auto now = m_loop.now();
        if (now < m_nextPeerQuery)
            return;
        m_nextPeerQuery = now + Duration(s_peerQueryPeriodMs);
        std::vector<Endpoint> peers;
        for (const auto& [key, value] : m_memberFollower.values()) {
            try {
                const auto peer = Endpoint::parse(key.substr(std::string(s_memberPrefix).size()));
                if (peer != m_settings.peers)
                    peers.push_back(peer);
            } catch (const Error& error) {
                s_log.error("Member record does not parse.", { { "key", key }, { "reason", error.what() } });
            }
        }
        // Queries two peers at a time, as one of them may be partitioned as well.
        for (std::size_t i = 0; i < std::min<std::size_t>(peers.size(), s_peersPerQuery); ++i) {
            HttpCall http;
            http.method = "POST";
            http.target = s_statePath;
            http.body = encodeSnapshotRequest(m_operatorFollower.revision());
            http.timeout = Duration(s_peerQueryPeriodMs) * 2;
            m_client.send(peers[m_nextPeer++ % peers.size()], std::move(http),
                [this, now](const HttpResult& result) { handlePeerSnapshot(result, now); });
        }
    }

    // The peer measured the reported age after the query was sent, so the snapshot is at least as new as askedAt - age.
    void handlePeerSnapshot(const HttpResult& result, TimePoint askedAt)
    {
        if (!result.isOk())
            return;
        try {
            auto snapshot = decodeSnapshot(result.body);
            if (snapshot.age > Duration(s_maxSnapshotAgeMs))
                return;
            if (snapshot.owner)
                m_election.learnOwner(*snapshot.owner, snapshot.ownerRevision);
            m_operatorFollower.applySnapshot(
                std::move(snapshot.operatorRecords), snapshot.operatorRevision, askedAt - snapshot.age);
        } catch (const Error& error) {
            s_log.error("Fleet state from a peer does not parse.", { { "reason", error.what() } });
        }
    }

    FleetSnapshot snapshot(Revision known) const
    {
        FleetSnapshot snapshot;
        snapshot.owner = m_election.owner();
        snapshot.ownerRevision = m_election.ownerRevision();
        const auto confirmedAt = std::min(m_election.confirmedAt(), m_operatorFollower.confirmedAt());
        snapshot.age = m_loop.now() - confirmedAt;
        snapshot.operatorRevision = m_operatorFollower.revision();
        if (snapshot.operatorRevision > known) {
            for (const auto& [key, value] : m_operatorFollower.values())
                snapshot.operatorRecords.push_back(value);
        }
        return snapshot;
    }

    // Callers' calls, served here or forwarded to the owner.

    void attemptCall(std::uint64_t id)
    {
        const auto found = m_calls.find(id);
        if (found == m_calls.end() || found->second.isInFlight)
            return;
        auto& pending = found->second;
        const auto now = m_loop.now();
        pending.request.wait = std::min(pending.timer.first - now, m_settings.peerTimeout);
        pending.request.origin.entry = m_settings.peers.text();
        pending.request.origin.age = now - pending.receivedAt;
        if (m_runner) {
            if (!m_runner->isReady())
                return;
            pending.isInFlight = true;
            ++pending.attempts;
            serveCall(pending.request, [this, id](const Reply& reply, bool mayHaveTakenEffect) {
                handleAttemptResult(id, reply, mayHaveTakenEffect);
            });
            return;
        }
        const auto owner = m_election.owner();
        if (!owner || *owner == m_settings.peers) {
            if (!m_unreachableSince)
                m_unreachableSince = m_loop.now();
            if (!m_election.isStoreReachable())
                queryPeers();
            return;
        }
        pending.isInFlight = true;
        ++pending.attempts;
        HttpCall http;
        http.method = "POST";
        http.target = s_callPath;
        http.body = encodeCall(pending.request);
        http.timeout = m_settings.peerTimeout;
        m_client.send(*owner, std::move(http), [this, id](const HttpResult& result) {
            Reply reply;
            if (result.kind == HttpResult::Kind::Answered)
                m_unreachableSince.reset();
            else if (!m_unreachableSince)
                m_unreachableSince = m_loop.now();
            if (result.isOk()) {
                try {
                    reply = decodeReply(result.body);
                } catch (const Error& error) {
                    s_log.error("Reply from a peer does not parse.", { { "reason", error.what() } });
                }
            }
            handleAttemptResult(id, reply, result.kind == HttpResult::Kind::Lost || result.status == s_statusUnknown);
        });
    }

    void handleAttemptResult(std::uint64_t id, const Reply& reply, bool mayHaveTakenEffect)
    {
        const auto found = m_calls.find(id);
        if (found == m_calls.end())
            return;
        found->second.isInFlight = false;
        found->second.mayHaveTakenEffect |= mayHaveTakenEffect;
        if (reply.kind != Reply::Kind::NotCoordinator) {
            const auto& pending = found->second;
            const bool isOutcome = isConclusive(pending.request.kind, reply, pending.mayHaveTakenEffect);
            finish(id, { isOutcome ? CallResult::Kind::Answered : CallResult::Kind::Unknown, reply });
            // The caller's next attempt may then reach a successor.
            if (reply.kind == Reply::Kind::NotStoredHere)
                queryPeers();
            return;
        }
        queryPeers();
        m_loop.after(Duration(s_retryMs), [this, id] { attemptCall(id); });
    }

    void retryCalls()
    {
        std::vector<std::uint64_t> ids;
        for (const auto& [id, pending] : m_calls)
            ids.push_back(id);
        for (const auto id : ids)
            attemptCall(id);
    }

    void expire(std::uint64_t id)
    {
        auto& pending = m_calls.at(id);
        const auto now = m_loop.now();
        // Another attempt can still determine the outcome of the call, which the caller cannot.
        if (pending.mayBeDone() && now + Duration(s_retryMs) < pending.latest) {
            pending.timer = m_loop.after(pending.latest - now, [this, id] { expire(id); });
            return;
        }
        finishUnanswered(id);
    }

    void finishUnanswered(std::uint64_t id)
    {
        finish(id, { m_calls.at(id).mayBeDone() ? CallResult::Kind::Unknown : CallResult::Kind::NotReached, {} });
    }

    void finish(std::uint64_t id, CallResult result)
    {
        auto pending = m_calls.extract(id);
        result.attempts = pending.mapped().attempts;
        m_loop.cancel(pending.mapped().timer);
        pending.mapped().callback(result);
    }

    // Serving calls as the coordinator.

    using ServeCallback = std::function<void(const Reply&, bool mayHaveTakenEffect)>;

    void serveCall(const FleetCallRequest& request, ServeCallback served)
    {
        if (!m_runner || !m_runner->isReady()) {
            served({ Reply::Kind::NotCoordinator, {}, 0, {} }, false);
            return;
        }
        auto& coordinator = m_runner->coordinator();
        const auto now = m_loop.now();
        switch (request.kind) {
        case FleetCallRequest::Kind::JobStatus:
        case FleetCallRequest::Kind::Waiting: {
            // Another coordinator may have accepted further jobs. A negative answer requires that the election lease is
            // certainly still held.
            auto reply = request.kind == FleetCallRequest::Kind::JobStatus ? coordinator.jobStatus(request.job.id)
                                                                           : coordinator.waiting(request.job.queue);
            if (!m_election.isLeaseValid() && reply.kind != Reply::Kind::State)
                reply = { Reply::Kind::NotCoordinator, {}, 0, {} };
            served(reply, false);
            return;
        }
        case FleetCallRequest::Kind::Submit:
        case FleetCallRequest::Kind::Cancel: {
            const auto token = CallToken(m_nextToken++);
            m_tokens.emplace(token, std::move(served));
            if (request.kind == FleetCallRequest::Kind::Submit)
                coordinator.submit(token, request.job, now, request.wait, request.origin);
            else
                coordinator.cancel(token, request.job.id, now, request.origin);
            m_runner->executeOrders();
            return;
        }
        }
    }

    void handleReply(CallToken token, const Reply& reply)
    {
        const auto waiting = m_tokens.extract(token);
        if (waiting)
            waiting.mapped()(reply, false);
    }

    // The address of the peers may be reached by others. A call must not break the coordinator's invariants, nor make
    // it keep long names.
    bool isPlausible(const FleetCallRequest& call) const
    {
        const auto& job = call.job;
        const auto longest = std::max({ job.id.value().size(), job.queue.value().size(), job.team.value().size(),
            call.origin.team.value().size(), call.origin.entry.size() });
        if (longest > s_maxNameBytes)
            return false;
        if (call.kind != FleetCallRequest::Kind::Submit)
            return true;
        return isConsistent(job)
            && (!m_settings.coordinator.jobBytes || memoryOf(job) <= m_settings.coordinator.jobBytes);
    }

    void servePeer(const HttpRequest& request, HttpResponderPtr responder)
    {
        if (request.path == s_statePath) {
            serveState(request, *responder);
            return;
        }
        if (request.path != s_callPath) {
            responder->send({ s_statusNotFound, "", "text/plain", {} });
            return;
        }
        try {
            const auto call = decodeCall(std::string(request.body));
            if (!isPlausible(call))
                throw Error(ErrorKind::MalformedRequest, "call from a peer is out of bounds");
            serveCall(call, [responder](const Reply& reply, bool mayHaveTakenEffect) {
                responder->send(
                    { mayHaveTakenEffect ? s_statusUnknown : s_statusOk, encodeReply(reply), s_callType, {} });
            });
        } catch (const Error& error) {
            s_log.error("Call from a peer does not parse.", { { "reason", error.what() } });
            responder->send({ s_statusMalformed, "", "text/plain", {} });
        }
    }

    void serveState(const HttpRequest& request, HttpResponder& responder)
    {
        try {
            const auto known = decodeSnapshotRequest(std::string(request.body));
            responder.send({ s_statusOk, encodeSnapshot(snapshot(known)), s_callType, {} });
        } catch (const Error& error) {
            s_log.error("State query from a peer does not parse.", { { "reason", error.what() } });
            responder.send({ s_statusMalformed, "", "text/plain", {} });
        }
    }

    static constexpr Log s_log { "node" };
    static constexpr const char* s_statePath = "/v1/fleet/state";
    static constexpr const char* s_memberPrefix = "marigold/member/";
    static constexpr Duration s_partitionedAfter { 1000 };
    static constexpr Duration s_handoverDelay { 1000 }; // a newly registered process is ready within this time
    static constexpr Duration s_memberWatchWait { 20000 }; // members change rarely
    static constexpr Duration s_memberBatchDelay { 1000 }; // all members register at once when the fleet starts
    static constexpr int s_registerRetryMs = 500;
    static constexpr int s_keyHorizonCheckPeriodMs = 500;
    static constexpr Duration s_clockSlack { 50 }; // clocks of this instance and the key-value service differ in rate
    static constexpr int s_peerQueryPeriodMs = 250;
    static constexpr std::size_t s_peersPerQuery = 2;
    static constexpr int s_maxSnapshotAgeMs = 3000; // a watch is confirmed every 1.5 s
    static constexpr std::size_t s_maxNameBytes = 1024;
    static constexpr const char* s_callPath = "/v1/fleet/call";
    static constexpr const char* s_callType = "application/x-thrift";
    static constexpr int s_statusOk = 200;
    static constexpr int s_statusMalformed = 400;
    static constexpr int s_statusNotFound = 404;
    static constexpr int s_statusUnknown = 504; // the call may have taken effect
    static constexpr int s_retryMs = 40;
    static constexpr int s_readyPollMs = 5;
    static constexpr int s_runnerLingerMs = 60000;

    EventLoop& m_loop;
    Platform& m_platform;
    NodeSettings m_settings;
    CoordinatorSinks m_sinks;
    HttpClient m_client;
    HttpServer m_server;
    StoreFollower<Platform> m_operatorFollower;
    StoreFollower<Platform> m_memberFollower;
    CoordinatorPreference m_preference;
    Revision m_memberRevision { noRevision }; // of the own registration; noRevision until the store has confirmed it
    bool m_hasSteppedDown { false };
    Election<Platform> m_election;
    TimePoint m_nextPeerQuery; // of peers
    bool m_areKeysCurrent { true }; // as last logged
    std::optional<TimePoint> m_unreachableSince; // since when no call has reached a coordinator
    std::size_t m_nextPeer { 0 };
    OperatorState m_operators;
    std::shared_ptr<CoordinatorRunner<Platform>> m_runner;
    std::optional<Ownership> m_pendingOwnership;
    std::map<std::uint64_t, PendingCall> m_calls;
    std::uint64_t m_nextCall { 1 };
    bool m_areCallsFinished { false };
    std::map<CallToken, ServeCallback> m_tokens;
    std::uint64_t m_nextToken { 1 };
};

} // namespace marigoldlink
