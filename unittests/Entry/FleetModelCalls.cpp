// FleetModel: clients, and the entry instances through which their calls reach a coordinator.
#include "FleetModel.h"

namespace marigoldlink::testing {

JobSpec FleetModel::drawJob()
{
    JobSpec spec;
    spec.id = JobId("job" + std::to_string(m_nextJob++));
    spec.queue = QueueId("checks");
    const bool isService = m_jobs == ModelJobs::SomeServices && m_services < s_maxServices;
    for (int i = 0; i < (isService ? 1 : 2); ++i) {
        StepSpec stepSpec;
        stepSpec.tasks = 1 + static_cast<int>(m_choices.below(3));
        stepSpec.need = { taskMilliCores, 1, 0 };
        stepSpec.estimate = Duration(300);
        if (i)
            stepSpec.after.push_back(0);
        if (isService) {
            ++m_services;
            stepSpec.tasks = s_serviceTasks;
            stepSpec.isService = true;
            stepSpec.maxUnavailable = s_maxUnavailable;
        }
        spec.steps.push_back(stepSpec);
    }
    // A slow reply may arrive before such a job is due.
    const std::size_t latestDueMs = m_calls.travel ? 12000 : 2000;
    if (m_jobs == ModelJobs::SomeTimed && m_choices.below(2))
        spec.schedule
            = { 2, wallMs() + static_cast<std::int64_t>(m_choices.below(latestDueMs)), s_occurrenceInterval.count() };
    m_specs[spec.id] = spec;
    return spec;
}

void FleetModel::submit()
{
    if (m_calls.travel) {
        const auto spec = drawJob();
        sendCall(FleetCallRequest::Kind::Submit, spec);
        if (m_choices.below(8) == 1 && !spec.steps[0].isService)
            post(step * static_cast<std::int64_t>(m_choices.below(20)),
                [this, spec] { sendCall(FleetCallRequest::Kind::Cancel, spec); });
        return;
    }
    auto* owner = currentOwner();
    if (!owner || !owner->isRestored || owner->isPaused)
        return;
    const auto spec = drawJob();
    owner->coordinator->submit(CallToken(m_nextToken), spec, m_now);
    m_tokens[CallToken(m_nextToken++)] = spec.id;
}

void FleetModel::cancel()
{
    if (m_calls.travel) {
        if (m_accepted.empty())
            return;
        const auto& spec = m_specs.at(m_choices.pick(m_accepted));
        if (!spec.steps[0].isService)
            sendCall(FleetCallRequest::Kind::Cancel, spec);
        return;
    }
    std::vector<NodePtr> nodes;
    for (const auto& node : m_nodes) {
        if (!node->isGone && !node->isPaused && node->isRestored)
            nodes.push_back(node);
    }
    if (nodes.empty() || m_accepted.empty())
        return;
    const auto job = m_choices.pick(m_accepted);
    if (m_specs.at(job).steps[0].isService)
        return;
    m_cancelTokens[CallToken(m_nextToken)] = job;
    m_choices.pick(nodes)->coordinator->cancel(CallToken(m_nextToken++), job, m_now);
}

void FleetModel::cancelUnanswered()
{
    if (m_unanswered.empty())
        return;
    const auto& spec = m_specs.at(m_choices.pick(m_unanswered));
    if (!spec.steps[0].isService)
        sendCall(FleetCallRequest::Kind::Cancel, spec);
}

void FleetModel::cancelNeverSubmitted()
{
    JobSpec spec;
    spec.id = JobId("never" + std::to_string(m_neverSubmitted.size()));
    spec.queue = QueueId("checks");
    m_neverSubmitted.insert(spec.id);
    sendCall(FleetCallRequest::Kind::Cancel, spec);
}

Duration FleetModel::drawDelay(Duration longest)
{
    if (longest > s_shortestLongDelay && m_choices.below(4) == 1)
        return s_shortestLongDelay
            + Duration(static_cast<std::int64_t>(
                m_choices.below(static_cast<std::size_t>((longest - s_shortestLongDelay).count()))));
    return step * static_cast<std::int64_t>(1 + m_choices.below(3));
}

// Clients.

void FleetModel::sendCall(FleetCallRequest::Kind kind, const JobSpec& job)
{
    const bool isSubmission = kind == FleetCallRequest::Kind::Submit;
    auto call = std::make_shared<ModelCall>();
    call->request.kind = kind;
    call->request.job = job;
    call->entry = m_choices.below(s_entryInstances);
    call->clientTime = Duration(800 + static_cast<std::int64_t>(m_choices.below(isSubmission ? 2200 : 4000)));
    if (isSubmission) {
        if (m_sends[job.id]++ == 0)
            m_unanswered.insert(job.id);
        ++m_openSubmissions[job.id];
        m_refused.erase(job.id);
    } else {
        m_cancelSent.insert(job.id);
    }
    const auto delay = drawDelay(isSubmission ? m_calls.submission : Duration(0));
    addTrace(std::string("a client ") + (isSubmission ? "submits " : "cancels ") + job.id.value() + " through entry "
        + std::to_string(call->entry) + ", which reads it after " + std::to_string(delay.count()) + " ms");
    post(delay, [this, call] {
        atEntry(call->entry, [this, call] {
            call->latest = m_now + call->clientTime;
            post(std::min(call->clientTime, s_maxWait), [this, call] { expire(call); });
            attemptCall(call);
        });
    });
    post(call->clientTime, [this, call] { giveUp(call); });
}

void FleetModel::giveUp(const CallPtr& call)
{
    if (call->isAnswered)
        return;
    call->isGivenUp = true;
    const auto& spec = call->request.job;
    const auto draw = m_choices.below(4);
    if (call->request.kind == FleetCallRequest::Kind::Cancel) {
        if (draw < 2)
            sendCall(FleetCallRequest::Kind::Cancel, spec);
        return;
    }
    if (m_cancelSent.contains(spec.id))
        return;
    if (draw == 0 && !spec.steps[0].isService)
        sendCall(FleetCallRequest::Kind::Cancel, spec);
    else if (draw < 3 && m_sends.at(spec.id) < s_maxSends)
        sendCall(FleetCallRequest::Kind::Submit, spec);
}

void FleetModel::receive(const CallPtr& call, const Reply& reply)
{
    if (call->isGivenUp)
        return;
    call->isAnswered = true;
    const auto& id = call->request.job.id;
    if (call->request.kind == FleetCallRequest::Kind::Submit) {
        receiveSubmitted(*call, reply);
        return;
    }
    if (reply.kind != Reply::Kind::Cancelled && reply.kind != Reply::Kind::UnknownJob)
        return;
    addTrace("a client reads that " + id.value()
        + (reply.kind == Reply::Kind::Cancelled ? " is cancelled" : " does not exist, after its cancelling"));
    if (m_cancelledAt.try_emplace(id, m_now).second)
        m_unansweredCancelled += m_unanswered.contains(id);
}

void FleetModel::receiveSubmitted(const ModelCall& call, const Reply& reply)
{
    const auto& spec = call.request.job;
    if (reply.kind == Reply::Kind::Accepted) {
        addTrace("a client reads that " + spec.id.value() + " is accepted");
        m_accepted.insert(spec.id);
        m_unanswered.erase(spec.id);
        if (m_choices.below(8) == 1)
            post(Duration(500 + static_cast<std::int64_t>(m_choices.below(4000))),
                [this, spec] { sendCall(FleetCallRequest::Kind::Submit, spec); });
    } else if (reply.kind == Reply::Kind::Refused || reply.kind == Reply::Kind::AlreadyCancelled) {
        addTrace("a client reads that " + spec.id.value() + " is refused");
        if (--m_openSubmissions.at(spec.id) > 0)
            return;
        m_unanswered.erase(spec.id);
        m_refused.insert(spec.id);
        if (m_startedJobs.contains(spec.id))
            recordViolation("REFUSED: " + spec.id.value() + " was refused although it had started");
    }
}

// Entry instances.

void FleetModel::learnOwner(const NodePtr& node)
{
    node->home = m_choices.below(s_entryInstances);
    for (std::size_t entry = 0; entry < s_entryInstances; ++entry) {
        const bool learnsLate = entry != node->home && m_choices.below(6) == 1;
        post(learnsLate ? Duration(static_cast<std::int64_t>(m_choices.below(3000))) : step, [this, entry, node] {
            auto& owner = m_believedOwners[entry];
            if (!owner || owner->term.number < node->term.number)
                owner = node;
        });
    }
}

void FleetModel::atEntry(std::size_t entry, const std::function<void()>& action)
{
    const bool isPaused = std::any_of(m_nodes.begin(), m_nodes.end(),
        [entry](const auto& node) { return node->home == entry && node->isPaused && !node->isGone; });
    if (isPaused)
        post(step, [this, entry, action] { atEntry(entry, action); });
    else
        action();
}

void FleetModel::attemptCall(const CallPtr& call)
{
    if (call->isFinished || call->isInFlight)
        return;
    const auto node = m_believedOwners[call->entry];
    if (!node) {
        post(s_callRetry, [this, call] { atEntry(call->entry, [this, call] { attemptCall(call); }); });
        return;
    }
    addTrace("entry " + std::to_string(call->entry) + " passes the "
        + (call->request.kind == FleetCallRequest::Kind::Submit ? "submission of " : "cancelling of ")
        + call->request.job.id.value() + " to term " + std::to_string(node->term.number));
    call->isInFlight = true;
    call->attempt = CallToken(m_nextToken++);
    call->request.wait = std::min(std::chrono::duration_cast<Duration>(call->latest - m_now), s_peerTimeout);
    m_attempts[call->attempt] = { call, node };
    const auto serve
        = [this, node, token = call->attempt, request = call->request] { serveCall(node, token, request); };
    if (node->home == call->entry) {
        serve();
        return;
    }
    post(drawDelay(call->request.kind == FleetCallRequest::Kind::Submit ? m_calls.attempt : Duration(0)), serve);
    post(s_peerTimeout, [this, call, token = call->attempt] { handleAttemptResult(call, token, {}, true); });
}

void FleetModel::serveCall(const NodePtr& node, CallToken token, const FleetCallRequest& request)
{
    if (node->isPaused) {
        post(step, [this, node, token, request] { serveCall(node, token, request); });
        return;
    }
    if (node->isGone || !node->isRestored)
        replyToCall(node, token, {}, false);
    else if (request.kind == FleetCallRequest::Kind::Submit)
        node->coordinator->submit(token, request.job, m_now, request.wait);
    else
        node->coordinator->cancel(token, request.job.id, m_now);
}

void FleetModel::send(const NodePtr& node, const ReplyOrder& order)
{
    if (m_calls.travel) {
        const auto attempt = m_attempts.find(order.token);
        if (attempt != m_attempts.end() && order.reply.kind == Reply::Kind::Refused) {
            // The client has read the acceptance, so its coordinator and each successor know the job.
            const auto& id = attempt->second.call->request.job.id;
            if (m_accepted.contains(id))
                recordViolation("REFUSED: " + id.value() + " is refused although it was accepted");
        }
        replyToCall(node, order.token, order.reply, false);
        return;
    }
    if (const auto cancelled = m_cancelTokens.find(order.token); cancelled != m_cancelTokens.end()) {
        if (order.reply.kind == Reply::Kind::Cancelled || order.reply.kind == Reply::Kind::UnknownJob)
            m_cancelledAt.try_emplace(cancelled->second, m_now);
        return;
    }
    const auto found = m_tokens.find(order.token);
    if (found == m_tokens.end())
        return;
    if (order.reply.kind == Reply::Kind::Accepted)
        m_accepted.insert(found->second);
    else if (order.reply.kind == Reply::Kind::Refused)
        m_refused.insert(found->second);
}

void FleetModel::replyToCall(const NodePtr& node, CallToken token, const Reply& reply, bool mayHaveTakenEffect)
{
    const auto attempt = m_attempts.extract(token);
    if (!attempt)
        return;
    const auto call = attempt.mapped().call;
    // A superseded coordinator goes on to send its replies, so this does not use arrive().
    const auto leave = [this, node, call, token, reply, mayHaveTakenEffect](const auto& self) -> void {
        if (node->isPaused)
            post(step, [self] { self(self); });
        else
            post(drawDelay(node->home == call->entry ? Duration(0) : m_calls.reply),
                [=, this] { handleAttemptResult(call, token, reply, mayHaveTakenEffect); });
    };
    post(step, [leave] { leave(leave); });
}

void FleetModel::loseCalls(const NodePtr& node)
{
    std::vector<CallToken> tokens;
    for (const auto& [token, attempt] : m_attempts) {
        if (attempt.node == node)
            tokens.push_back(token);
    }
    for (const auto token : tokens)
        replyToCall(node, token, {}, true);
}

void FleetModel::handleAttemptResult(
    const CallPtr& call, CallToken attempt, const Reply& reply, bool mayHaveTakenEffect)
{
    atEntry(call->entry, [=, this] {
        if (call->isFinished || call->attempt != attempt || !call->isInFlight)
            return;
        call->isInFlight = false;
        call->mayHaveTakenEffect |= mayHaveTakenEffect;
        if (reply.kind != Reply::Kind::NotCoordinator) {
            const bool isOutcome = isConclusive(call->request.kind, reply, call->mayHaveTakenEffect);
            finish(call, isOutcome ? std::optional(reply) : std::nullopt);
            return;
        }
        post(s_callRetry, [this, call] { atEntry(call->entry, [this, call] { attemptCall(call); }); });
    });
}

void FleetModel::expire(const CallPtr& call)
{
    atEntry(call->entry, [this, call] {
        if (call->isFinished)
            return;
        const bool mayHaveTakenEffect = call->mayHaveTakenEffect || call->isInFlight;
        if (mayHaveTakenEffect && m_now + s_callRetry < call->latest) {
            post(call->latest - m_now, [this, call] { expire(call); });
            return;
        }
        // Clients take a call that was not reached for refused.
        finish(call, mayHaveTakenEffect ? std::nullopt : std::optional<Reply>({ Reply::Kind::Refused, {}, 0, {} }));
    });
}

void FleetModel::finish(const CallPtr& call, const std::optional<Reply>& reply)
{
    call->isFinished = true;
    if (reply)
        post(drawDelay(m_calls.reply), [this, call, reply] { receive(call, *reply); });
}

void FleetModel::checkLooks()
{
    m_nextLook = m_now + s_lookPeriod;
    for (const auto& node : m_nodes) {
        if (node->isGone || node->isPaused || !node->isRestored)
            continue;
        for (const auto& id : m_accepted) {
            if (m_cancelSent.contains(id))
                continue;
            const auto reply = node->coordinator->jobStatus(id);
            // As entry instances do: a negative answer requires a valid lease.
            if (reply.kind == Reply::Kind::UnknownJob && m_now < node->leaseValidUntil)
                recordViolation("LOST: " + id.value() + " was accepted and is denied");
            if (reply.kind == Reply::Kind::State && reply.state == JobState::Cancelled)
                recordViolation("LOST: " + id.value() + " is shown as cancelled, and no client cancelled it");
        }
        for (const auto& id : m_neverSubmitted) {
            if (node->coordinator->jobStatus(id).kind == Reply::Kind::State)
                recordViolation("MIXED: " + id.value() + " is shown, and no client submitted it");
        }
    }
}

} // namespace marigoldlink::testing
