// Platform adapter over HTTP with JSON.
#include "marigoldlink/Transport/HttpPlatform.h"

#include "marigoldlink/Protocol/RecordCodec.h"
#include "marigoldlink/State/Errors.h"

#include <nlohmann/json.hpp>

namespace marigoldlink {

namespace {

    using Json = nlohmann::json;

    constexpr Duration s_callTimeout { 1500 };
    constexpr Duration s_watchWait { 1000 };

    constexpr int s_statusNotModified = 304;
    constexpr int s_statusNotFound = 404;
    constexpr int s_statusConflict = 409;

    std::string toString(Revision revision) { return std::to_string(static_cast<std::uint64_t>(revision)); }

    Revision decodeRevision(const Json& json) { return Revision(json.at("revision").get<std::uint64_t>()); }

    StoreStatus failureStatus(const HttpResult& result)
    {
        if (result.kind == HttpResult::Kind::NotSent)
            return StoreStatus::Unavailable;
        if (result.kind == HttpResult::Kind::Lost)
            return StoreStatus::Unknown;
        if (result.status == s_statusNotFound)
            return StoreStatus::Missing;
        if (result.status == s_statusConflict)
            return StoreStatus::Conflict;
        return StoreStatus::Unavailable;
    }

    StoredValue decodeStoredValue(const Json& json)
    {
        return { json.at("key"), json.at("value"), decodeRevision(json) };
    }

} // namespace

HttpPlatform::HttpPlatform(HttpClient& client, Endpoint endpoint)
    : m_client(client)
    , m_endpoint(std::move(endpoint))
{
}

void HttpPlatform::read(const std::string& key, ReadCallback callback)
{
    HttpCall call { "GET", "/kv/" + key, "", {}, s_callTimeout };
    m_client.send(m_endpoint, std::move(call), [callback = std::move(callback)](HttpResult result) {
        if (!result.isOk()) {
            callback({ failureStatus(result), {} });
            return;
        }
        const auto json = Json::parse(result.body, nullptr, false);
        if (json.is_discarded())
            callback({ StoreStatus::Unknown, {} });
        else
            callback({ StoreStatus::Ok, decodeStoredValue(json) });
    });
}

void HttpPlatform::write(const std::string& key, const std::string& value, Revision expected, WriteCallback callback)
{
    HttpCall call { "PUT", "/kv/" + key + "?expect=" + toString(expected), value, {}, s_callTimeout };
    m_client.send(m_endpoint, std::move(call), [callback = std::move(callback)](HttpResult result) {
        if (!result.isOk()) {
            callback({ failureStatus(result), noRevision });
            return;
        }
        const auto json = Json::parse(result.body, nullptr, false);
        if (json.is_discarded())
            callback({ StoreStatus::Unknown, noRevision });
        else
            callback({ StoreStatus::Ok, decodeRevision(json) });
    });
}

void HttpPlatform::fetchRange(std::string target, Duration timeout, RangeCallback callback)
{
    HttpCall call { "GET", std::move(target), "", {}, timeout };
    m_client.send(m_endpoint, std::move(call), [callback = std::move(callback)](HttpResult outcome) {
        RangeResult result;
        result.status = failureStatus(outcome);
        const auto json = outcome.isOk() ? Json::parse(outcome.body, nullptr, false) : Json();
        if (json.is_object()) {
            result.status = StoreStatus::Ok;
            result.revision = decodeRevision(json);
            for (const auto& item : json.at("items"))
                result.values.push_back(decodeStoredValue(item));
        }
        callback(std::move(result));
    });
}

void HttpPlatform::range(const std::string& prefix, RangeCallback callback)
{
    fetchRange("/range?prefix=" + prefix, s_callTimeout, std::move(callback));
}

void HttpPlatform::watch(const std::string& prefix, Revision after, RangeCallback callback)
{
    const auto target
        = "/watch?prefix=" + prefix + "&after=" + toString(after) + "&wait=" + std::to_string(s_watchWait.count());
    fetchRange(target, s_watchWait + s_callTimeout, std::move(callback));
}

void HttpPlatform::instances(InstanceListCallback callback)
{
    HttpCall call { "GET", "/instances", "", {}, s_callTimeout };
    if (!m_instancesTag.empty())
        call.headers.emplace_back("if-none-match", m_instancesTag);
    m_client.send(m_endpoint, std::move(call), [this, callback = std::move(callback)](HttpResult outcome) {
        InstanceListResult result { failureStatus(outcome), {} };
        if (outcome.kind == HttpResult::Kind::Answered && outcome.status == s_statusNotModified) {
            result = { StoreStatus::Ok, m_instances };
        } else if (outcome.isOk()) {
            try {
                m_instances = decodeInstanceList(outcome.body);
                m_instancesTag = outcome.entityTag;
                result = { StoreStatus::Ok, m_instances };
            } catch (const Error&) {
                result.status = StoreStatus::Unknown;
            }
        }
        callback(std::move(result));
    });
}

} // namespace marigoldlink
