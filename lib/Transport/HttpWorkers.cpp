// Worker adapter over HTTP with JSON.
#include "marigoldlink/Transport/HttpWorkers.h"

#include <nlohmann/json.hpp>

namespace marigoldlink {

namespace {

    using Json = nlohmann::json;

    constexpr Duration s_controlTimeout { 800 };

    // Status codes of a worker's response to a task start: why the task was not started, or how it ended.
    constexpr int s_statusFinished = 200;
    constexpr int s_statusCheckpointed = 202;
    constexpr int s_statusRefused = 409;
    constexpr int s_statusLeaseLapsed = 410;
    constexpr int s_statusFull = 429;
    constexpr int s_statusFailed = 500;
    constexpr int s_statusStopped = 503;

    TaskResult::Status taskStatus(const HttpResult& result)
    {
        if (result.kind == HttpResult::Kind::NotSent)
            return TaskResult::Status::NotSent;
        if (result.kind == HttpResult::Kind::Lost)
            return TaskResult::Status::NoAnswer;
        switch (result.status) {
        case s_statusFinished:
            return TaskResult::Status::Finished;
        case s_statusCheckpointed:
            return TaskResult::Status::Checkpointed;
        case s_statusRefused:
            return TaskResult::Status::Refused;
        case s_statusLeaseLapsed:
            return TaskResult::Status::LeaseExpired;
        case s_statusFull:
            return TaskResult::Status::Full;
        case s_statusFailed:
            return TaskResult::Status::Failed;
        case s_statusStopped:
            return TaskResult::Status::Stopped;
        default:
            return TaskResult::Status::NoAnswer;
        }
    }

} // namespace

HttpWorkers::HttpWorkers(HttpClient& client)
    : m_client(client)
{
}

void HttpWorkers::sendLeaseCall(const Endpoint& endpoint, std::string target, LeaseCallback callback)
{
    HttpCall call { "POST", std::move(target), "", {}, s_controlTimeout };
    m_client.send(endpoint, std::move(call), [callback = std::move(callback)](HttpResult outcome) {
        LeaseResult result;
        if (outcome.kind == HttpResult::Kind::Answered && outcome.status == s_statusLeaseLapsed)
            result.status = LeaseResult::Status::Expired;
        const auto json = outcome.isOk() ? Json::parse(outcome.body, nullptr, false) : Json();
        if (json.is_object()) {
            result.status = LeaseResult::Status::Valid;
            result.lease = LeaseId(json.at("lease").get<std::string>());
            result.slots = json.at("slots");
            result.running = json.at("running");
        }
        callback(std::move(result));
    });
}

void HttpWorkers::openLease(const Endpoint& endpoint, HolderId holder, Duration ttl, LeaseCallback callback)
{
    const auto target = "/lease?holder=" + std::to_string(number(holder)) + "&ttl=" + std::to_string(ttl.count());
    sendLeaseCall(endpoint, target, std::move(callback));
}

void HttpWorkers::renewLease(const Endpoint& endpoint, const LeaseId& lease, Duration ttl, LeaseCallback callback)
{
    const auto target = "/lease/" + lease.value() + "/renew?ttl=" + std::to_string(ttl.count());
    sendLeaseCall(endpoint, target, std::move(callback));
}

void HttpWorkers::start(const Endpoint& endpoint, const TaskStart& start, TaskCallback callback)
{
    HttpCall call;
    call.method = "POST";
    call.target = "/task/" + start.task.value() + "?lease=" + start.lease.value() + "&team=" + start.team.value();
    call.body = start.body;
    call.timeout = start.timeout;
    if (!start.checkpoint.empty())
        call.headers.emplace_back("x-checkpoint", start.checkpoint);
    m_client.send(endpoint, std::move(call), [callback = std::move(callback)](HttpResult result) {
        callback({ taskStatus(result), std::move(result.body) });
    });
}

void HttpWorkers::sendStopCall(const Endpoint& endpoint, std::string target, StopCallback callback)
{
    HttpCall call { "POST", std::move(target), "", {}, s_controlTimeout };
    m_client.send(endpoint, std::move(call), [callback = std::move(callback)](HttpResult result) {
        const auto json = result.isOk() ? Json::parse(result.body, nullptr, false) : Json();
        if (!json.is_object()) {
            callback(StopResult::Unreachable);
            return;
        }
        const std::string state = json.at("state");
        if (state == "never")
            callback(StopResult::NeverStarted);
        else if (state == "finished")
            callback(StopResult::Finished);
        else
            callback(StopResult::Stopped);
    });
}

void HttpWorkers::stop(const Endpoint& endpoint, const TaskId& task, StopCallback callback)
{
    sendStopCall(endpoint, "/task/" + task.value() + "/stop", std::move(callback));
}

void HttpWorkers::checkpoint(const Endpoint& endpoint, const TaskId& task, StopCallback callback)
{
    sendStopCall(endpoint, "/task/" + task.value() + "/checkpoint", std::move(callback));
}

void HttpWorkers::queryHolder(const Endpoint& endpoint, HolderId holder, HolderCallback callback)
{
    HttpCall call { "GET", "/holder/" + std::to_string(number(holder)), "", {}, s_controlTimeout };
    m_client.send(endpoint, std::move(call), [callback = std::move(callback)](HttpResult result) {
        const auto json = result.isOk() ? Json::parse(result.body, nullptr, false) : Json();
        if (json.is_object())
            callback({ true, json.at("leases").get<std::int64_t>(), json.at("running").get<Slots>() });
        else
            callback({});
    });
}

void HttpWorkers::reboot(const Endpoint& endpoint, std::function<void(bool)> callback)
{
    HttpCall call { "POST", "/reboot", "", {}, s_controlTimeout };
    m_client.send(
        endpoint, std::move(call), [callback = std::move(callback)](HttpResult result) { callback(result.isOk()); });
}

} // namespace marigoldlink
