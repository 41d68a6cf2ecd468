// One entry instance: follows what operators ask for, stands for election, and takes callers' calls to the coordinator,
// wherever it runs.
#pragma once

#include "marigoldlink/Coordination/Succession.h"
#include "marigoldlink/Entry/CoordinatorRunner.h"
#include "marigoldlink/Entry/PeerCalls.h"
#include "marigoldlink/Transport/HttpClient.h"
#include "marigoldlink/Transport/HttpServer.h"

#include <map>
#include <memory>

namespace marigoldlink {

struct NodeSettings {
    Endpoint peers; // where other entry instances call this one
    CoordinatorSettings coordinator;
    double processors { 1 }; // share of a core that this instance has
    Duration peerTimeout { 1000 }; // one try to reach the coordinator
    Duration longestWait { 2000 }; // for a coordinator, when none is known
    std::optional<Duration> keyHorizon; // no withdrawn key is used later than this; nothing: no bound is kept
};

// How a call ended for the gateway.
struct CallResult {
    enum class Kind {
        Answered, // the coordinator's reply holds
        NotReached, // surely nothing was done
        Unknown, // the call may have been carried out
    };

    Kind kind { Kind::NotReached };
    Reply reply;
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
        , m_server(loop, {},
              [this](
                  const HttpRequest& request, HttpResponderPtr responder) { servePeer(request, std::move(responder)); })
        , m_operatorFollower(loop, platform, platform.operatorPrefix(), {}, [this](const auto&) { operatorsChanged(); })
        , m_memberFollower(loop, platform, s_memberPrefix,
              { s_memberWait, Duration(s_registerRetryMs), s_memberGather },
              [this](const auto&) { considerHandover(); })
        , m_succession(m_settings.processors, {})
        , m_election(
              loop, platform, m_settings.peers, {}, [this](const Ownership& ownership) { elected(ownership); },
              [this] { dismissed(); }, [this] { ownerChanged(); }, [this] { return m_succession.yield(contenders()); })
    {
    }

    void start()
    {
        m_server.listen(m_settings.peers);
        registerMember();
        m_memberFollower.start();
        m_operatorFollower.start();
        m_election.start();
        if (m_settings.keyHorizon)
            m_loop.every(Duration(s_horizonPeriodMs), [this] { keepHorizon(); });
    }

    // Hands the coordinator's part to another instance. Calls of callers still go on.
    void retire() { m_election.retire(); }

    const OperatorState& operators() const { return m_operators; }
    // False while it can serve no call that needs a key.
    bool isReady() const { return m_operators.hasConfig() && areKeysCurrent() && !isCutOff(); }
    // It reaches neither the key-value service nor a coordinator. Callers are better off elsewhere; where all instances
    // are cut off, the balancer uses all of them.
    bool isCutOff() const
    {
        return !m_runner && !m_operatorFollower.isReached() && m_unservedSince
            && m_loop.now() - *m_unservedSince > s_cutOffAfter;
    }
    // A request that is here now was sent before now. So every key that was withdrawn a horizon before it was sent is
    // known as withdrawn, whatever pauses there were since the view was confirmed or come until the answer.
    bool areKeysCurrent() const
    {
        return !m_settings.keyHorizon
            || m_loop.now() < m_operatorFollower.confirmedAt() + *m_settings.keyHorizon - s_clockSlack;
    }
    bool isCoordinator() const { return m_runner != nullptr; }

    // Brings the call to the coordinator, and calls back once, before the time is over.
    void call(FleetCallRequest request, Duration time, CallCallback callback)
    {
        const auto id = m_nextCall++;
        auto& pending = m_calls[id];
        pending.request = std::move(request);
        pending.callback = std::move(callback);
        pending.latest = m_loop.now() + time;
        pending.timer = m_loop.after(std::min(time, m_settings.longestWait), [this, id] { expire(id); });
        tryCall(id);
    }

private:
    struct PendingCall {
        FleetCallRequest request;
        CallCallback callback;
        EventLoop::Timer timer;
        TimePoint latest; // the caller waits until then
        bool isUnderWay { false };
        bool mayBeDone { false }; // some try had no answer
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
            s_log.info("Configuration in force.", { { "version", std::to_string(m_operators.config.version) } });
        if (m_runner) {
            m_runner->coordinator().setOperators(m_operators, m_loop.now());
            m_runner->pump();
        } else if (m_waitingOwnership && m_operators.hasConfig()) {
            elected(*m_waitingOwnership);
        }
    }

    void elected(const Ownership& ownership)
    {
        if (!m_operators.hasConfig()) {
            m_waitingOwnership = ownership;
            return;
        }
        m_waitingOwnership.reset();
        m_runner = std::make_shared<CoordinatorRunner<Platform>>(
            m_loop, m_platform, m_settings.coordinator, ownership, m_sinks,
            [this](CallToken token, const Reply& reply) { replied(token, reply); }, [this] { m_election.resign(); });
        m_runner->setSureUntil(m_election.sureUntil());
        m_runner->start(m_operators);
        awaitRunner();
    }

    void ownerChanged()
    {
        if (m_election.owner())
            m_unservedSince.reset(); // the next call tells whether it is reached
        if (m_runner)
            m_runner->setSureUntil(m_election.sureUntil());
        retryCalls();
    }

    void awaitRunner()
    {
        if (!m_runner)
            return;
        if (m_runner->isReady()) {
            retryCalls();
            considerHandover();
            return;
        }
        m_loop.after(Duration(s_readyPollMs), [this] { awaitRunner(); });
    }

    void dismissed()
    {
        m_waitingOwnership.reset();
        if (!m_runner)
            return;
        m_runner->stop();
        // Calls of it to the outside may still be answered; they hold on to it until they have timed out.
        m_loop.after(Duration(s_runnerKeptMs), [runner = std::move(m_runner)] {});
        m_runner.reset();
        for (auto& [token, waiting] : std::exchange(m_tokens, {}))
            waiting({ Reply::Kind::NotCoordinator, {}, 0, {} }, true);
    }

    // The other entry instances, and this one, as they have registered.
    std::vector<Contender> contenders() const
    {
        std::vector<Contender> contenders;
        for (const auto& [key, value] : m_memberFollower.values())
            contenders.push_back({ decodeMember(value.value), value.revision });
        return contenders;
    }

    // A coordinator on a small instance gives its part to a larger one, once it has let it start.
    void considerHandover()
    {
        if (!m_runner || !m_runner->isReady() || !m_succession.shouldHandOver(contenders()))
            return;
        m_loop.after(s_handoverDelay, [this] {
            if (!m_runner)
                return;
            s_log.info("Hands over to a larger instance.");
            m_election.resign();
        });
    }

    // Tells of a horizon that has passed, and keeps it ahead with what peers know.
    void keepHorizon()
    {
        const bool areCurrent = areKeysCurrent();
        if (m_areKeysCurrent != areCurrent && m_operatorFollower.isLoaded()) {
            m_areKeysCurrent = areCurrent;
            const auto age = std::to_string((m_loop.now() - m_operatorFollower.confirmedAt()).count());
            const auto version = std::to_string(m_operators.config.version);
            if (areCurrent)
                s_log.info("The keys are confirmed again.", { { "config", version }, { "age_ms", age } });
            else
                s_log.warning("The keys are not confirmed. Calls with keys are refused.",
                    { { "config", version }, { "age_ms", age } });
        }
        if (!m_operatorFollower.isReached())
            askPeers();
    }

    // Peers: what one instance learns from another while it does not reach the key-value service.

    void registerMember()
    {
        StoreWrite call;
        call.puts
            = { { s_memberPrefix + m_settings.peers.text(), encodeMember(m_settings.processors), StoreLease::None } };
        m_platform.write(call, [this](const StoreWriteResult& result) {
            if (result.status != StoreWriteStatus::Done)
                m_loop.after(Duration(s_registerRetryMs), [this] { registerMember(); });
        });
    }

    // Asks one peer after another for the coordinator, not too often.
    void askPeers()
    {
        const auto now = m_loop.now();
        if (now < m_nextQuestion)
            return;
        m_nextQuestion = now + Duration(s_questionPeriodMs);
        std::vector<Endpoint> peers;
        for (const auto& [key, value] : m_memberFollower.values()) {
            try {
                const auto peer = Endpoint::parse(key.substr(std::string(s_memberPrefix).size()));
                if (peer != m_settings.peers)
                    peers.push_back(peer);
            } catch (const Error& error) {
                s_log.error("A member's record does not parse.", { { "key", key }, { "reason", error.what() } });
            }
        }
        // Two at a time, as one may be cut off as well.
        for (std::size_t i = 0; i < std::min<std::size_t>(peers.size(), s_peersAsked); ++i) {
            HttpCall http;
            http.method = "POST";
            http.target = s_statePath;
            http.body = encodeKnowledgeCall(m_operatorFollower.revision());
            http.timeout = Duration(s_questionPeriodMs) * 2;
            m_client.send(peers[m_nextPeer++ % peers.size()], std::move(http),
                [this, now](const HttpOutcome& outcome) { learn(outcome, now); });
        }
    }

    // The age that a peer tells was taken after the question left.
    void learn(const HttpOutcome& outcome, TimePoint askedAt)
    {
        if (!outcome.isOk())
            return;
        try {
            auto knowledge = decodeKnowledge(outcome.body);
            if (knowledge.age > Duration(s_oldestKnowledgeMs))
                return;
            if (knowledge.owner)
                m_election.learnOwner(*knowledge.owner, knowledge.ownerRevision);
            m_operatorFollower.offer(
                std::move(knowledge.operatorRecords), knowledge.operatorRevision, askedAt - knowledge.age);
        } catch (const Error& error) {
            s_log.error("A peer's state does not parse.", { { "reason", error.what() } });
        }
    }

    FleetKnowledge knowledge(Revision known) const
    {
        FleetKnowledge knowledge;
        knowledge.owner = m_election.owner();
        knowledge.ownerRevision = m_election.ownerRevision();
        const auto confirmedAt = std::min(m_election.confirmedAt(), m_operatorFollower.confirmedAt());
        knowledge.age = m_loop.now() - confirmedAt;
        knowledge.operatorRevision = m_operatorFollower.revision();
        if (knowledge.operatorRevision > known) {
            for (const auto& [key, value] : m_operatorFollower.values())
                knowledge.operatorRecords.push_back(value);
        }
        return knowledge;
    }

    // Calls of callers, here or at the owner.

    void tryCall(std::uint64_t id)
    {
        const auto found = m_calls.find(id);
        if (found == m_calls.end() || found->second.isUnderWay)
            return;
        auto& pending = found->second;
        if (m_runner) {
            if (!m_runner->isReady())
                return;
            pending.isUnderWay = true;
            serveCall(
                pending.request, [this, id](const Reply& reply, bool mayBeDone) { tryEnded(id, reply, mayBeDone); });
            return;
        }
        const auto owner = m_election.owner();
        if (!owner || *owner == m_settings.peers) {
            if (!m_unservedSince)
                m_unservedSince = m_loop.now();
            if (!m_election.isStoreReached())
                askPeers();
            return;
        }
        pending.isUnderWay = true;
        HttpCall http;
        http.method = "POST";
        http.target = s_callPath;
        http.body = encodeCall(pending.request);
        http.timeout = m_settings.peerTimeout;
        m_client.send(*owner, std::move(http), [this, id](const HttpOutcome& outcome) {
            Reply reply;
            if (outcome.kind == HttpOutcome::Kind::Answered)
                m_unservedSince.reset();
            else if (!m_unservedSince)
                m_unservedSince = m_loop.now();
            if (outcome.isOk()) {
                try {
                    reply = decodeReply(outcome.body);
                } catch (const Error& error) {
                    s_log.error("A peer's reply does not parse.", { { "reason", error.what() } });
                }
            }
            tryEnded(id, reply, outcome.kind == HttpOutcome::Kind::Lost || outcome.status == s_statusUnknown);
        });
    }

    void tryEnded(std::uint64_t id, const Reply& reply, bool mayBeDone)
    {
        const auto found = m_calls.find(id);
        if (found == m_calls.end())
            return;
        found->second.isUnderWay = false;
        found->second.mayBeDone |= mayBeDone;
        if (reply.kind != Reply::Kind::NotCoordinator) {
            finish(id, { CallResult::Kind::Answered, reply });
            return;
        }
        askPeers();
        m_loop.after(Duration(s_retryMs), [this, id] { tryCall(id); });
    }

    void retryCalls()
    {
        std::vector<std::uint64_t> ids;
        for (const auto& [id, pending] : m_calls)
            ids.push_back(id);
        for (const auto id : ids)
            tryCall(id);
    }

    void expire(std::uint64_t id)
    {
        auto& pending = m_calls.at(id);
        const bool mayBeDone = pending.mayBeDone || pending.isUnderWay;
        const auto now = m_loop.now();
        // A next try can still tell what became of it, and the caller cannot.
        if (mayBeDone && now + Duration(s_retryMs) < pending.latest) {
            pending.timer = m_loop.after(pending.latest - now, [this, id] { expire(id); });
            return;
        }
        finish(id, { mayBeDone ? CallResult::Kind::Unknown : CallResult::Kind::NotReached, {} });
    }

    void finish(std::uint64_t id, const CallResult& result)
    {
        auto pending = m_calls.extract(id);
        m_loop.cancel(pending.mapped().timer);
        pending.mapped().callback(result);
    }

    // The coordinator's side.

    using Served = std::function<void(const Reply&, bool mayBeDone)>;

    void serveCall(const FleetCallRequest& request, Served served)
    {
        if (!m_runner || !m_runner->isReady()) {
            served({ Reply::Kind::NotCoordinator, {}, 0, {} }, false);
            return;
        }
        auto& coordinator = m_runner->coordinator();
        const auto now = m_loop.now();
        switch (request.kind) {
        case FleetCallRequest::Kind::Look:
        case FleetCallRequest::Kind::Waiting: {
            // Another coordinator may have accepted more since; only a sure lease allows a negative answer.
            auto reply = request.kind == FleetCallRequest::Kind::Look ? coordinator.look(request.job.id)
                                                                      : coordinator.waiting(request.job.queue);
            if (!m_election.isLeaseSure() && reply.kind != Reply::Kind::State)
                reply = { Reply::Kind::NotCoordinator, {}, 0, {} };
            served(reply, false);
            return;
        }
        case FleetCallRequest::Kind::Submit:
        case FleetCallRequest::Kind::Cancel: {
            const auto token = CallToken(m_nextToken++);
            m_tokens.emplace(token, std::move(served));
            if (request.kind == FleetCallRequest::Kind::Submit)
                coordinator.submit(token, request.job, now);
            else
                coordinator.cancel(token, request.job.id, now);
            m_runner->pump();
            return;
        }
        }
    }

    void replied(CallToken token, const Reply& reply)
    {
        const auto waiting = m_tokens.extract(token);
        if (waiting)
            waiting.mapped()(reply, false);
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
            serveCall(call, [responder](const Reply& reply, bool mayBeDone) {
                responder->send({ mayBeDone ? s_statusUnknown : s_statusOk, encodeReply(reply), s_callType, {} });
            });
        } catch (const Error& error) {
            s_log.error("A peer's call does not parse.", { { "reason", error.what() } });
            responder->send({ s_statusMalformed, "", "text/plain", {} });
        }
    }

    void serveState(const HttpRequest& request, HttpResponder& responder)
    {
        try {
            const auto known = decodeKnowledgeCall(std::string(request.body));
            responder.send({ s_statusOk, encodeKnowledge(knowledge(known)), s_callType, {} });
        } catch (const Error& error) {
            s_log.error("A peer's question does not parse.", { { "reason", error.what() } });
            responder.send({ s_statusMalformed, "", "text/plain", {} });
        }
    }

    static constexpr Log s_log { "node" };
    static constexpr const char* s_statePath = "/v1/fleet/state";
    static constexpr const char* s_memberPrefix = "marigold/member/";
    static constexpr Duration s_cutOffAfter { 1000 };
    static constexpr Duration s_handoverDelay { 1000 }; // a process that has registered is ready within this time
    static constexpr Duration s_memberWait { 20000 }; // members change seldom
    static constexpr Duration s_memberGather { 1000 }; // all of them register at once when the fleet starts
    static constexpr int s_registerRetryMs = 500;
    static constexpr int s_horizonPeriodMs = 500;
    static constexpr Duration s_clockSlack { 50 }; // clocks of this instance and of the service differ in rate
    static constexpr int s_questionPeriodMs = 250;
    static constexpr std::size_t s_peersAsked = 2;
    static constexpr int s_oldestKnowledgeMs = 3000; // a watch is confirmed every 1.5 s
    static constexpr const char* s_callPath = "/v1/fleet/call";
    static constexpr const char* s_callType = "application/x-thrift";
    static constexpr int s_statusOk = 200;
    static constexpr int s_statusMalformed = 400;
    static constexpr int s_statusNotFound = 404;
    static constexpr int s_statusUnknown = 504; // the call may have been carried out
    static constexpr int s_retryMs = 40;
    static constexpr int s_readyPollMs = 5;
    static constexpr int s_runnerKeptMs = 60000;

    EventLoop& m_loop;
    Platform& m_platform;
    NodeSettings m_settings;
    CoordinatorSinks m_sinks;
    HttpClient m_client;
    HttpServer m_server;
    StoreFollower<Platform> m_operatorFollower;
    StoreFollower<Platform> m_memberFollower;
    Succession m_succession;
    Election<Platform> m_election;
    TimePoint m_nextQuestion; // to a peer
    bool m_areKeysCurrent { true }; // as was logged last
    std::optional<TimePoint> m_unservedSince; // from then on no call has reached a coordinator
    std::size_t m_nextPeer { 0 };
    OperatorState m_operators;
    std::shared_ptr<CoordinatorRunner<Platform>> m_runner;
    std::optional<Ownership> m_waitingOwnership;
    std::map<std::uint64_t, PendingCall> m_calls;
    std::uint64_t m_nextCall { 1 };
    std::map<CallToken, Served> m_tokens;
    std::uint64_t m_nextToken { 1 };
};

} // namespace marigoldlink
