// Open-loop load generator.
#include "Load.h"

#include "marigoldlink/Support/Log.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <sstream>

namespace marigoldlink {

namespace {

    using Json = nlohmann::json;

    constexpr Log s_log("load");
    constexpr int s_recordReadAttempts = 5;
    constexpr Duration s_responseTimeoutMargin { 3000 };
    constexpr Duration s_retryDelay { 100 };
    constexpr int s_maxTries = 60;
    constexpr std::size_t s_maxExamples = 5;

    std::int64_t percentile(std::vector<std::int64_t> values, double part)
    {
        if (values.empty())
            return 0;
        std::sort(values.begin(), values.end());
        const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
        return values[index];
    }

} // namespace

Flow Flow::parse(const std::string& text)
{
    Flow flow;
    std::istringstream in(text);
    for (std::string pair; std::getline(in, pair, ',');) {
        const auto equals = pair.find('=');
        const auto name = pair.substr(0, equals);
        const auto value = equals == std::string::npos ? std::string() : pair.substr(equals + 1);
        if (name == "queue")
            flow.queue = value;
        else if (name == "key")
            flow.key = value;
        else if (name == "rate")
            flow.rate = std::stod(value);
        else if (name == "work_ms")
            flow.workMs = std::stoll(value);
        else if (name == "deadline_ms")
            flow.deadlineMs = std::stoll(value);
        else if (name == "idempotent")
            flow.isIdempotent = value == "true";
        else
            throw std::runtime_error("unknown flow field \"" + name + "\"");
    }
    if (flow.queue.empty() || flow.rate <= 0)
        throw std::runtime_error("a flow needs a queue and a rate above 0");
    return flow;
}

Load::Load(EventLoop& loop, Options options)
    : m_loop(loop)
    , m_client(loop)
    , m_options(std::move(options))
    , m_random(m_options.seed)
    , m_results(m_options.flows.size())
{
}

void Load::run()
{
    m_end = m_loop.now() + m_options.time;
    for (std::size_t i = 0; i < m_options.flows.size(); ++i)
        scheduleNext(i);
    m_loop.runUntil([this] { return m_loop.now() >= m_end && m_open == 0; });
    fetchRecords();
}

void Load::scheduleNext(std::size_t flow)
{
    const auto seconds = std::exponential_distribution<double>(m_options.flows[flow].rate)(m_random);
    m_loop.after(Duration(std::llround(seconds * 1000)), [this, flow] {
        if (m_loop.now() >= m_end)
            return;
        const auto id = m_options.prefix + std::to_string(m_requests.size());
        m_requests.push_back({ flow, id, m_loop.now(), Outcome::Open, 0 });
        ++m_results[flow].sent;
        ++m_open;
        send(m_requests.size() - 1);
        scheduleNext(flow);
    });
}

void Load::send(std::size_t index)
{
    auto& request = m_requests[index];
    const auto& flow = m_options.flows[request.flow];
    ++request.tries;
    const auto entry = std::uniform_int_distribution<std::size_t>(0, m_options.entries.size() - 1)(m_random);
    HttpCall call;
    call.method = "POST";
    call.target = "/v1/queues/" + flow.queue + "/tasks";
    call.body = Json { { "id", request.id }, { "work_ms", flow.workMs } }.dump();
    call.timeout = Duration(flow.deadlineMs) + s_responseTimeoutMargin;
    call.headers = { { "x-request-id", request.id }, { "x-idempotent", flow.isIdempotent ? "true" : "false" },
        { "x-deadline-ms", std::to_string(flow.deadlineMs) } };
    if (!flow.key.empty())
        call.headers.emplace_back("authorization", "Bearer " + flow.key);
    m_client.send(
        m_options.entries[entry], std::move(call), [this, index](HttpResult result) { handleResponse(index, result); });
}

bool Load::scheduleRetry(std::size_t index)
{
    auto& request = m_requests[index];
    if (!m_options.isRetrying || request.tries >= s_maxTries)
        return false;
    m_loop.after(s_retryDelay, [this, index] { send(index); });
    return true;
}

void Load::handleResponse(std::size_t index, const HttpResult& outcome)
{
    auto& request = m_requests[index];
    auto& result = m_results[request.flow];
    const auto body = Json::parse(outcome.body, nullptr, false);
    if (outcome.isOk() && body.is_object()) {
        const auto echo = Json::parse(body.value("echo", ""), nullptr, false);
        const bool isOwn = echo.is_object() && echo.value("id", "") == request.id;
        result.mismatched += !isOwn;
        ++result.answered;
        request.outcome = Outcome::Answered;
        const auto wait = (m_loop.now() - request.sentAt).count() - m_options.flows[request.flow].workMs;
        result.waitMs.push_back(std::max<std::int64_t>(0, wait));
        --m_open;
        return;
    }
    const bool isComplete = outcome.kind == HttpResult::Kind::Answered && body.is_object();
    const bool isNotRun
        = outcome.kind == HttpResult::Kind::NotSent || (isComplete && body.value("run_state", "") == "not run");
    const bool hasEnded = isComplete && !body.value("retryable", true);
    if (!hasEnded && scheduleRetry(index))
        return;
    request.outcome = isNotRun ? Outcome::NotRun : Outcome::Unknown;
    if (isNotRun)
        ++result.refused[isComplete ? body.value("error", "") : "not reached"];
    else
        ++result.unknown;
    --m_open;
}

void Load::fetchRecords()
{
    auto runs = std::make_shared<Runs>();
    m_unreadRecords = m_options.workers.size();
    for (const auto& worker : m_options.workers)
        fetchRecord(worker, runs, s_recordReadAttempts);
    m_loop.runUntil([this] { return m_unreadRecords == 0; });
    if (!m_options.workers.empty())
        checkAgainstRecords(*runs);
}

void Load::fetchRecord(const Endpoint& worker, std::shared_ptr<Runs> runs, int triesLeft)
{
    m_client.send(worker, { "GET", "/record", {}, {}, Duration(20000) }, [=, this](const HttpResult& result) {
        const auto json = Json::parse(result.body, nullptr, false);
        if (json.is_object()) {
            for (const auto& item : json.at("ran")) {
                const auto body = Json::parse(item.value("body", ""), nullptr, false);
                if (body.is_object())
                    ++(*runs)[body.value("id", "")];
            }
            --m_unreadRecords;
            return;
        }
        s_log.warning("Cannot read the record of a worker.",
            { { "worker", worker.text() }, { "status", std::to_string(result.status) },
                { "tries_left", std::to_string(triesLeft - 1) } });
        if (triesLeft > 1) {
            m_loop.after(s_retryDelay, [=, this] { fetchRecord(worker, runs, triesLeft - 1); });
            return;
        }
        ++m_verdict.unreadWorkers;
        --m_unreadRecords;
    });
}

void Load::checkAgainstRecords(const Runs& runs)
{
    for (const auto& request : m_requests) {
        const auto found = runs.find(request.id);
        const auto count = found == runs.end() ? 0 : found->second;
        const bool isDuplicate = count > 1 && !m_options.flows[request.flow].isIdempotent;
        // After a retry an earlier try may have run, so "not run" is checked only for requests that were sent once.
        const bool isFalseRefusal = request.outcome == Outcome::NotRun && count > 0 && request.tries == 1;
        const bool isLost = request.outcome == Outcome::Answered && count == 0;
        m_verdict.duplicateRuns += isDuplicate;
        m_verdict.falselyRefused += isFalseRefusal;
        m_verdict.lost += isLost;
        if ((isDuplicate || isFalseRefusal || isLost) && m_verdict.examples.size() < s_maxExamples)
            m_verdict.examples.push_back(request.id);
    }
}

bool Load::isClean() const
{
    const bool hasMismatch = std::any_of(
        m_results.begin(), m_results.end(), [](const FlowResult& result) { return result.mismatched > 0; });
    return !hasMismatch && m_verdict.duplicateRuns == 0 && m_verdict.falselyRefused == 0 && m_verdict.lost == 0
        && m_verdict.unreadWorkers == 0;
}

std::string Load::report() const
{
    auto flows = Json::array();
    for (std::size_t i = 0; i < m_results.size(); ++i) {
        const auto& result = m_results[i];
        flows.push_back(
            { { "queue", m_options.flows[i].queue }, { "sent", result.sent }, { "answered", result.answered },
                { "unknown", result.unknown }, { "refused", result.refused }, { "crossed", result.mismatched },
                { "wait_ms",
                    { { "p50", percentile(result.waitMs, 0.5) }, { "p99", percentile(result.waitMs, 0.99) },
                        { "p99.9", percentile(result.waitMs, 0.999) }, { "max", percentile(result.waitMs, 1) } } } });
    }
    return Json {
        { "flows", flows }, { "doubled", m_verdict.duplicateRuns }, { "falsely_refused", m_verdict.falselyRefused },
        { "lost", m_verdict.lost }, { "unread_records", m_verdict.unreadWorkers }, { "clean", isClean() },
        { "examples", m_verdict.examples }
    }.dump(2);
}

} // namespace marigoldlink
