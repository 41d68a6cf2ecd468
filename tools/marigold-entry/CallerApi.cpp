// HTTP interface of an entry instance for callers.
#include "CallerApi.h"

#include "../common/Jitter.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace marigoldlink {

namespace {

    using Json = nlohmann::json;

    constexpr std::string_view s_queuePrefix = "/v1/queues/";
    constexpr std::string_view s_queueSuffix = "/tasks";
    constexpr std::string_view s_requestPrefix = "/v1/requests/";
    constexpr std::string_view s_cancelSuffix = "/cancel";
    constexpr std::string_view s_bearer = "Bearer ";
    constexpr std::size_t s_maxRequestIdBytes = 128;
    constexpr Duration s_claimRetryDelay { 60 };
    constexpr int s_maxClaimTries = 25;
    constexpr Duration s_expirePeriod { 1000 };

    std::string_view between(std::string_view text, std::string_view prefix, std::string_view suffix)
    {
        if (!text.starts_with(prefix) || !text.ends_with(suffix) || text.size() <= prefix.size() + suffix.size())
            return {};
        return text.substr(prefix.size(), text.size() - prefix.size() - suffix.size());
    }

    bool parseBoolHeader(std::string_view name, std::string_view value)
    {
        if (value.empty() || value == "false")
            return false;
        if (value == "true")
            return true;
        throw Error(ErrorKind::MalformedRequest, "header " + std::string(name) + " must be true or false");
    }

    Duration deadline(std::string_view text, Duration fallback, Duration longest)
    {
        if (text.empty())
            return fallback;
        std::int64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size() || value <= 0 || value > longest.count()) {
            throw Error(ErrorKind::MalformedRequest,
                "header x-deadline-ms must be an integer between 1 and " + std::to_string(longest.count()));
        }
        return Duration(value);
    }

} // namespace

CallerApi::CallerApi(EventLoop& loop, const EntrySettings& settings, Membership& membership, ConfigSync& config,
    ConfigFreshness& freshness, Dispatcher& dispatcher, PeerLink& peers, Metrics& metrics)
    : m_loop(loop)
    , m_settings(settings)
    , m_membership(membership)
    , m_config(config)
    , m_freshness(freshness)
    , m_dispatcher(dispatcher)
    , m_peers(peers)
    , m_metrics(metrics)
    , m_attempts({ settings.claimWindow, std::size_t { 16 } * 1024 * 1024 })
{
    m_loop.every(s_expirePeriod, [this] { m_attempts.expire(m_loop.now()); });
}

void CallerApi::handle(const HttpRequest& request, HttpResponderPtr responder)
{
    try {
        if (request.method != "POST")
            throw Error(ErrorKind::MalformedRequest, "the method must be POST");
        if (request.path.starts_with(s_requestPrefix))
            serveCancel(request, responder);
        else
            serveTask(request, responder);
    } catch (const Error& error) {
        refuse(*responder, error.kind(), error.what());
    }
}

TeamId CallerApi::authenticated(const HttpRequest& request) const
{
    const auto header = request.header("authorization");
    if (header.empty())
        throw Error(ErrorKind::KeyMissing, "the queue needs a key: Authorization: Bearer KEY");
    if (!header.starts_with(s_bearer))
        throw Error(ErrorKind::KeyRejected, "the Authorization header must hold a bearer key");
    const auto team = m_config.keys().authenticate(header.substr(s_bearer.size()));
    if (!team)
        throw Error(ErrorKind::KeyRejected, "the key is not in force");
    if (!m_freshness.allowsAuthenticatedRequests(m_loop.now(), m_membership.otherMembers(), m_settings.partitionPolicy))
        throw Error(ErrorKind::KeyUnconfirmed, "this data centre is cut off and cannot confirm keys");
    return *team;
}

JobRequest CallerApi::validateRequest(const HttpRequest& request) const
{
    if (m_isStopping)
        throw Error(ErrorKind::Stopping, "this entry instance is stopping");
    const auto* spec = m_config.spec();
    if (!spec || !m_peers.isConfigCompared())
        throw Error(ErrorKind::NoConfiguration, "the configuration has not arrived or is not compared with a peer yet");
    const QueueId id(std::string(between(request.path, s_queuePrefix, s_queueSuffix)));
    const auto queue = spec->queues.find(id);
    if (queue == spec->queues.end())
        throw Error(ErrorKind::UnknownQueue, "no queue \"" + id.value() + "\"");
    JobRequest job;
    job.queue = id;
    job.pool = spec->pool(queue->second);
    job.urgency = spec->urgency(queue->second);
    job.team = queue->second.allowsAnonymous ? queue->second.team : authenticated(request);
    if (!spec->teams.contains(job.team))
        throw Error(ErrorKind::KeyRejected, "the team of the key is not in the text in force");
    job.isIdempotent = parseBoolHeader("x-idempotent", request.header("x-idempotent"));
    job.deadline
        = m_loop.now() + deadline(request.header("x-deadline-ms"), m_settings.defaultDeadline, m_settings.maxDeadline);
    job.body = std::string(request.body);
    return job;
}

void CallerApi::serveTask(const HttpRequest& request, const HttpResponderPtr& responder)
{
    auto call = std::make_shared<Call>();
    call->request = validateRequest(request);
    call->id = RequestId(std::string(request.header("x-request-id")));
    call->responder = responder;
    if (call->id.value().size() > s_maxRequestIdBytes)
        throw Error(ErrorKind::MalformedRequest, "header x-request-id is longer than 128 bytes");
    ++m_open;
    if (!call->id.empty())
        m_calls.emplace(CallKey(call->request.team, call->id), call);
    if (call->id.empty() || call->request.isIdempotent)
        submit(call);
    else
        claimThenSubmit(call);
}

void CallerApi::claimThenSubmit(const CallPtr& call)
{
    // The team is part of the claimed id, so that ids of different teams cannot collide.
    const RequestId id(call->request.team.value() + "/" + call->id.value());
    call->claim = Claim { id, m_membership.self(), m_attempts.begin(), ClaimState::Running };
    ++call->claimTries;
    m_peers.claim(*call->claim, [this, call](ClaimReplyResult result) { handleClaimReply(call, result); });
}

void CallerApi::handleClaimReply(const CallPtr& call, const ClaimReplyResult& result)
{
    using Verdict = ClaimAnswer::Verdict;
    const auto verdict = result.wasReached ? result.answer.verdict : Verdict::NotOwner;
    if (result.wasReached && verdict == Verdict::Granted) {
        call->hasEarlierAttempt = false;
        submit(call);
        return;
    }
    // This attempt never runs, whatever the owner recorded for it.
    m_attempts.end(call->claim->attempt, { ErrorKind::OwnerUnreachable, {} }, m_loop.now());
    m_peers.reportClaimEnd(*call->claim, true);
    if (verdict == Verdict::Taken) {
        call->hasEarlierAttempt = true;
        const auto earlier = result.answer.claim;
        m_peers.fetchOutcome(earlier, [this, call, earlier](std::optional<AttemptOutcome> outcome) {
            handleEarlierOutcome(call, earlier, outcome);
        });
    } else if (verdict == Verdict::Unsettled) {
        answer(call, { ErrorKind::OwnerUnsettled, {} });
    } else {
        retryClaim(call, ErrorKind::OwnerUnreachable);
    }
}

void CallerApi::retryClaim(const CallPtr& call, ErrorKind otherwise)
{
    if (call->isCancelled && !call->hasEarlierAttempt) {
        answer(call, { ErrorKind::Cancelled, {} });
        return;
    }
    if (call->claimTries >= s_maxClaimTries || m_loop.now() >= call->request.deadline) {
        answer(call, { otherwise, {} });
        return;
    }
    m_loop.after(jittered(s_claimRetryDelay), [this, call] { claimThenSubmit(call); });
}

void CallerApi::handleEarlierOutcome(
    const CallPtr& call, const Claim& earlier, const std::optional<AttemptOutcome>& outcome)
{
    if (!outcome) {
        answer(call, { ErrorKind::DuplicateRunning, {} });
    } else if (outcome->isRunning) {
        retryClaim(call, ErrorKind::DuplicateRunning);
    } else if (outcome->hasAnswer) {
        answer(call, outcome->outcome);
    } else if (outcome->isKnown && earlier.state == ClaimState::Running && outcome->outcome.isNotRun()) {
        m_peers.reportClaimEnd(earlier, true);
        retryClaim(call, ErrorKind::OwnerUnreachable);
    } else {
        answer(call, { ErrorKind::DuplicateFinished, {} });
    }
}

AttemptOutcome CallerApi::attemptOutcome(const Claim& claim) const
{
    if (claim.claimant != m_membership.self() || m_attempts.isExpired(claim.attempt))
        return {};
    const auto* entry = m_attempts.find(claim.attempt);
    if (!entry)
        return { true, false, false, { ErrorKind::OwnerUnreachable, {} } };
    return { true, entry->isRunning, entry->hasAnswer, entry->outcome };
}

void CallerApi::submit(const CallPtr& call)
{
    if (call->isCancelled) {
        answer(call, { ErrorKind::Cancelled, {} });
        return;
    }
    call->ticket
        = m_dispatcher.submit(call->request, [this, call](const JobOutcome& outcome) { answer(call, outcome); });
    if (!call->ticket) {
        answer(call, { ErrorKind::QueueFull, {} });
        return;
    }
    call->request.body.clear();
    if (call->responder->isOpen()) {
        call->responder->onClosed([this, ticket = *call->ticket, isIdempotent = call->request.isIdempotent] {
            // The caller has closed the connection, so the response of an idempotent request is not needed any more.
            if (isIdempotent)
                m_dispatcher.cancel(ticket, [] {});
        });
    }
}

void CallerApi::answer(const CallPtr& call, const JobOutcome& outcome)
{
    --m_open;
    unregister(call);
    if (call->claim) {
        m_attempts.end(call->claim->attempt, outcome, m_loop.now());
        m_peers.reportClaimEnd(*call->claim, outcome.isNotRun());
    }
    if (outcome.error) {
        refuse(*call->responder, *outcome.error, outcome.body.empty() ? errorInfo(*outcome.error).name : outcome.body);
        return;
    }
    m_metrics.countAnswer(call->request.team);
    call->responder->send({ 200, outcome.body, "application/json", { { "x-run-state", name(RunState::Ran) } } });
}

void CallerApi::unregister(const CallPtr& call)
{
    const auto [first, last] = m_calls.equal_range(CallKey(call->request.team, call->id));
    const auto found = std::find_if(first, last, [&call](const auto& item) { return item.second == call; });
    if (found != last)
        m_calls.erase(found);
}

void CallerApi::refuse(HttpResponder& responder, ErrorKind kind, const std::string& message)
{
    const auto& row = errorInfo(kind);
    m_metrics.countRefusal(kind);
    const Json body { { "error", row.name }, { "message", message }, { "run_state", name(row.runState) },
        { "retryable", row.retryable } };
    HttpResponse answer { row.httpStatus, body.dump(-1, ' ', false, Json::error_handler_t::replace), "application/json",
        { { "x-run-state", name(row.runState) } } };
    if (row.retryAfterSeconds > 0)
        answer.headers.emplace_back("retry-after", std::to_string(row.retryAfterSeconds));
    responder.send(std::move(answer));
}

void CallerApi::serveCancel(const HttpRequest& request, const HttpResponderPtr& responder)
{
    const RequestId id(std::string(between(request.path, s_requestPrefix, s_cancelSuffix)));
    const auto [first, last] = m_calls.equal_range(CallKey(authenticated(request), id));
    // Cancelling a queued request answers its call, which removes it from m_calls.
    std::vector<CallPtr> calls;
    for (auto it = first; it != last; ++it)
        calls.push_back(it->second);
    bool isFound = false;
    for (const auto& call : calls)
        isFound |= !call->hasEarlierAttempt;
    // Answered once none of the calls is started any more.
    const auto open = std::make_shared<std::size_t>(calls.size() + 1);
    const auto release = [open, responder, isFound] {
        if (--*open == 0)
            responder->send({ isFound ? 200 : 404, Json { { "found", isFound } }.dump(), "application/json", {} });
    };
    for (const auto& call : calls) {
        call->isCancelled = true;
        if (call->ticket)
            m_dispatcher.cancel(*call->ticket, release);
        else
            release();
    }
    release();
}

std::variant<QueueTicket, ErrorKind> CallerApi::runForwarded(JobRequest request, std::function<void(JobOutcome)> onDone)
{
    const auto* spec = m_config.spec();
    if (m_isStopping)
        return ErrorKind::Stopping;
    if (!spec)
        return ErrorKind::NoConfiguration;
    if (m_config.isOutOfService(m_settings.dataCenter))
        return ErrorKind::DataCenterOut;
    const auto queue = spec->queues.find(request.queue);
    if (queue == spec->queues.end() || !spec->teams.contains(request.team))
        return ErrorKind::UnknownQueue;
    request.pool = spec->pool(queue->second);
    request.urgency = spec->urgency(queue->second);
    const auto ticket = m_dispatcher.submit(std::move(request), std::move(onDone));
    if (!ticket)
        return ErrorKind::QueueFull;
    return *ticket;
}

} // namespace marigoldlink
