// JSON encoding of the persisted records.
#include "marigoldlink/Protocol/RecordCodec.h"

#include "marigoldlink/State/Errors.h"

#include <nlohmann/json.hpp>

namespace marigoldlink {

using Json = nlohmann::json;

NLOHMANN_JSON_SERIALIZE_ENUM(MemberState,
    { { MemberState::Active, "active" }, { MemberState::Leaving, "leaving" }, { MemberState::Removing, "removing" } })
NLOHMANN_JSON_SERIALIZE_ENUM(InstancePhase,
    { { InstancePhase::Active, "active" }, { InstancePhase::Draining, "draining" },
        { InstancePhase::Rebooting, "rebooting" }, { InstancePhase::Quarantined, "quarantined" } })

namespace {

    template <typename Function> auto parseRecord(const std::string& value, Function decode)
    {
        try {
            return decode(Json::parse(value));
        } catch (const Json::exception& error) {
            throw Error(ErrorKind::Internal, std::string("malformed record from the platform: ") + error.what());
        }
    }

} // namespace

std::string encode(const ConfigRecord& record)
{
    return Json { { "version", record.version }, { "write", record.writeId }, { "body", record.body } }.dump();
}

ConfigRecord decodeConfigRecord(const std::string& key, const std::string& value)
{
    return parseRecord(value, [&](const Json& json) {
        return ConfigRecord { key, json.at("version"), json.at("write"), json.at("body") };
    });
}

std::string encode(const std::vector<ApiKeyRecord>& keyRecords)
{
    auto json = Json::array();
    for (const auto& keyRecord : keyRecords)
        json.push_back({ { "id", keyRecord.id.value() }, { "salt", keyRecord.salt }, { "hash", keyRecord.hash } });
    return json.dump();
}

std::vector<ApiKeyRecord> decodeApiKeyRecords(const std::string& value)
{
    return parseRecord(value, [](const Json& json) {
        std::vector<ApiKeyRecord> keyRecords;
        for (const auto& item : json)
            keyRecords.push_back({ KeyId(item.at("id").get<std::string>()), item.at("salt"), item.at("hash") });
        return keyRecords;
    });
}

std::string encode(const EscrowRecord& record)
{
    auto held = Json::object();
    for (const auto& [holder, amount] : record.held)
        held[std::to_string(number(holder))] = amount;
    return Json { { "limit", record.limit }, { "limit_version", record.limitVersion }, { "held", held } }.dump();
}

EscrowRecord decodeEscrowRecord(const std::string& value)
{
    return parseRecord(value, [](const Json& json) {
        EscrowRecord record { json.at("limit"), json.at("limit_version"), {} };
        for (const auto& [holder, amount] : json.at("held").items())
            record.held[HolderId(std::stoull(holder))] = amount;
        return record;
    });
}

std::string encode(const MemberRecord& record)
{
    auto members = Json::array();
    for (const auto& member : record.members) {
        members.push_back({ { "holder", number(member.holder) }, { "dc", member.dataCenter.value() },
            { "endpoint", member.endpoint.text() }, { "state", member.state },
            { "state_version", member.stateVersion } });
    }
    auto removedHolders = Json::array();
    for (const auto holder : record.removedHolders)
        removedHolders.push_back(number(holder));
    return Json {
        { "version", record.version }, { "next", record.nextHolder }, { "owners_version", record.ownersVersion },
        { "members", members }, { "lost", removedHolders }
    }.dump();
}

MemberRecord decodeMemberRecord(const std::string& value)
{
    return parseRecord(value, [](const Json& json) {
        MemberRecord record { json.at("version"), json.at("next"), json.at("owners_version"), {}, {} };
        for (const auto& item : json.at("members")) {
            record.members.push_back({ HolderId(item.at("holder").get<std::uint64_t>()),
                DataCenterId(item.at("dc").get<std::string>()), Endpoint::parse(item.at("endpoint").get<std::string>()),
                item.at("state").get<MemberState>(), item.at("state_version") });
        }
        for (const auto& item : json.at("lost"))
            record.removedHolders.push_back(HolderId(item.get<std::uint64_t>()));
        return record;
    });
}

std::string encode(const InstanceRecord& record)
{
    return Json {
        { "id", record.id.value() }, { "dc", record.dataCenter.value() }, { "rack", record.rack.value() },
        { "endpoint", record.endpoint.text() }, { "slots", record.slots }, { "pool", record.pool.value() },
        { "phase", record.phase }, { "epoch", record.epoch }, { "next_pool", record.nextPool.value() },
        { "maintained_round", record.maintainedRound }
    }.dump();
}

InstanceRecord decodeInstanceRecord(const std::string& value)
{
    return parseRecord(value, [](const Json& json) {
        return InstanceRecord { InstanceId(json.at("id").get<std::string>()),
            DataCenterId(json.at("dc").get<std::string>()), RackId(json.at("rack").get<std::string>()),
            Endpoint::parse(json.at("endpoint").get<std::string>()), json.at("slots"),
            PoolId(json.at("pool").get<std::string>()), json.at("phase").get<InstancePhase>(), json.at("epoch"),
            PoolId(json.at("next_pool").get<std::string>()), json.value("maintained_round", std::uint64_t { 0 }) };
    });
}

std::string encode(const BudgetRecord& record)
{
    return Json { { "window", record.window }, { "missed_slot_seconds", record.missedSlotSeconds } }.dump();
}

BudgetRecord decodeBudgetRecord(const std::string& value)
{
    return parseRecord(value, [](const Json& json) {
        return BudgetRecord { json.at("window"), json.at("missed_slot_seconds") };
    });
}

std::string encode(const CustomerRecord& record)
{
    return Json {
        { "id", record.id.value() }, { "team", record.team.value() }, { "cancelled", record.isCancelled },
        { "settings", record.settings }
    }.dump();
}

CustomerRecord decodeCustomerRecord(const std::string& value)
{
    return parseRecord(value, [](const Json& json) {
        return CustomerRecord { CustomerId(json.at("id").get<std::string>()),
            TeamId(json.at("team").get<std::string>()), json.value("cancelled", false),
            json.value("settings", std::map<std::string, std::string> {}) };
    });
}

std::string encode(const std::vector<ListedInstance>& list)
{
    auto json = Json::array();
    for (const auto& info : list) {
        json.push_back({ { "id", info.id.value() }, { "dc", info.dataCenter.value() }, { "rack", info.rack.value() },
            { "endpoint", info.endpoint.text() }, { "slots", info.slots }, { "leaving", info.isLeaving } });
    }
    return json.dump();
}

std::vector<ListedInstance> decodeInstanceList(const std::string& value)
{
    return parseRecord(value, [](const Json& json) {
        std::vector<ListedInstance> list;
        for (const auto& item : json) {
            list.push_back({ InstanceId(item.at("id").get<std::string>()),
                DataCenterId(item.at("dc").get<std::string>()), RackId(item.at("rack").get<std::string>()),
                Endpoint::parse(item.at("endpoint").get<std::string>()), item.at("slots"), item.at("leaving") });
        }
        return list;
    });
}

} // namespace marigoldlink
