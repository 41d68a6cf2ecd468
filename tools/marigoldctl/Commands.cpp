// Operator commands. Commands that change a record read it and write it back by compare-and-swap.
#include "Commands.h"

#include "marigoldlink/Coordination/ApiKeyStore.h"
#include "marigoldlink/Coordination/Customers.h"
#include "marigoldlink/Coordination/FleetDiff.h"
#include "marigoldlink/Protocol/RecordCodec.h"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace marigoldlink {

namespace {

    using Json = nlohmann::json;

    const std::string s_grantsPrefix = "config/key/";

    std::string newWriteId() { return createKey().record.salt; }

} // namespace

std::string readFile(const std::string& fileName)
{
    std::ifstream in(fileName);
    if (!in)
        throw Error(ErrorKind::InvalidText, "cannot read " + fileName);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

Commands::StoredRecord Commands::read(const std::string& key)
{
    const auto value = m_platform.read(key);
    if (!value)
        return { { key, 0, {}, {} }, noRevision };
    return { decodeConfigRecord(key, value->value), value->revision };
}

ExitCode Commands::report(WriteOutcome outcome, const std::string& what, std::uint64_t version)
{
    static const std::map<WriteOutcome, std::pair<const char*, ExitCode>> results {
        { WriteOutcome::Applied, { "applied", ExitCode::Done } },
        { WriteOutcome::Conflict, { "not applied: another operator wrote first", ExitCode::Conflict } },
        { WriteOutcome::NotApplied, { "not applied: the platform does not answer", ExitCode::Unavailable } },
        { WriteOutcome::Unknown, { "unknown: the platform's answer was lost", ExitCode::Unknown } },
    };
    const auto& [text, code] = results.at(outcome);
    if (m_isJson)
        std::cout << Json { { "what", what }, { "result", text }, { "version", version } }.dump() << '\n';
    else
        std::cout << what << ": " << text << " (version " << version << ")\n";
    return code;
}

ExitCode Commands::writeRecord(StoredRecord held, std::string body, const std::string& what)
{
    held.record.version += 1;
    held.record.writeId = newWriteId();
    held.record.body = std::move(body);
    return report(m_platform.writeConfig(held.record, held.revision), what, held.record.version);
}

void Commands::printChanges(const std::string& before, const std::string& after)
{
    const auto former = before.empty() ? FleetSpec {} : parseFleetSpec(before, "current fleet specification");
    const auto changes = describeChanges(former, parseFleetSpec(after, "new fleet specification"));
    if (m_isJson) {
        auto list = Json::array();
        for (const auto& change : changes)
            list.push_back({ { "sign", std::string(1, change.sign) }, { "change", change.sentence } });
        std::cout << Json { { "changes", list } }.dump() << '\n';
        return;
    }
    for (const auto& change : changes)
        std::cout << change.sign << ' ' << change.sentence << '\n';
    if (changes.empty())
        std::cout << "no change\n";
}

ExitCode Commands::fetch()
{
    const auto held = read(keys::fleetSpec);
    std::cerr << "version " << held.record.version << '\n';
    std::cout << held.record.body;
    return ExitCode::Done;
}

ExitCode Commands::plan(const std::string& fileName)
{
    const auto text = readFile(fileName);
    const auto parsed = parseFleetSpec(text, fileName);
    const auto held = read(keys::fleetSpec);
    printChanges(held.record.body, text);
    std::vector<InstanceRecord> records;
    for (const auto& value : m_platform.range(keys::instancePrefix))
        records.push_back(decodeInstanceRecord(value.value));
    auto list = Json::array();
    for (const auto& capacity : poolCapacities(parsed, records)) {
        list.push_back(
            { { "pool", capacity.pool.value() }, { "needed", capacity.needed }, { "present", capacity.present } });
        if (!m_isJson) {
            std::cout << "pool " << std::left << std::setw(20) << capacity.pool.value() << " needs " << capacity.needed
                      << " slots, has " << capacity.present << '\n';
        }
    }
    if (m_isJson)
        std::cout << Json { { "from_version", held.record.version }, { "pools", list } }.dump() << '\n';
    else
        std::cout << "made from version " << held.record.version << '\n';
    return ExitCode::Done;
}

ExitCode Commands::apply(const std::string& fileName, std::uint64_t fromVersion)
{
    const auto text = readFile(fileName);
    const auto parsed = parseFleetSpec(text, fileName);
    auto held = read(keys::fleetSpec);
    if (fromVersion != 0 && held.record.version != fromVersion) {
        std::cerr << "not applied: version " << held.record.version << " is current, the edit was made from version "
                  << fromVersion << ". Changes against the current fleet specification:\n";
        printChanges(held.record.body, text);
        return ExitCode::Conflict;
    }
    std::optional<FleetSpec> former;
    if (!held.record.body.empty())
        former = parseFleetSpec(held.record.body, "current fleet specification");
    // The settings of the current specification are stored first, because the new one may remove customers.
    if (former && !storeCustomers(*former, &*former))
        return report(WriteOutcome::NotApplied, "text", held.record.version);
    const auto code = writeRecord(held, text, "text");
    if (code == ExitCode::Conflict)
        printChanges(read(keys::fleetSpec).record.body, text);
    if (code == ExitCode::Done && !storeCustomers(parsed, former ? &*former : nullptr))
        std::cerr
            << "the fleet specification is applied; some customer settings may not be stored until the next apply\n";
    return code;
}

bool Commands::storeCustomers(const FleetSpec& spec, const FleetSpec* former)
{
    bool isComplete = true;
    for (const auto& [id, customer] : spec.customers) {
        const bool wasListed = former && former->customers.contains(id);
        while (true) {
            const auto value = m_platform.read(keys::customer(id));
            std::optional<CustomerRecord> stored;
            if (value)
                stored = decodeCustomerRecord(value->value);
            const auto next = reconcileCustomer(stored, customer, wasListed);
            if (stored && *stored == next)
                break;
            const auto outcome
                = m_platform.write(keys::customer(id), encode(next), value ? value->revision : noRevision);
            if (outcome == WriteOutcome::Conflict)
                continue;
            isComplete &= outcome == WriteOutcome::Applied;
            break;
        }
    }
    return isComplete;
}

ExitCode Commands::grant(const TeamId& team)
{
    const auto text = read(keys::fleetSpec);
    if (text.record.version == 0
        || !parseFleetSpec(text.record.body, "current fleet specification").teams.contains(team)) {
        std::cerr << "no team \"" << team.value() << "\" in the current fleet specification\n";
        return ExitCode::Invalid;
    }
    const auto held = read(keys::grants(team));
    auto keyRecords = held.record.version == 0 ? std::vector<ApiKeyRecord> {} : decodeApiKeyRecords(held.record.body);
    const auto key = createKey();
    keyRecords.push_back(key.record);
    const auto code = writeRecord(held, encode(keyRecords), "grant of key " + key.record.id.value());
    if (code == ExitCode::Done || code == ExitCode::Unknown) {
        // The secret is printed once and not stored.
        std::cout << key.presented << '\n';
    }
    return code;
}

std::optional<TeamId> Commands::teamOf(const KeyId& key)
{
    for (const auto& value : m_platform.range(s_grantsPrefix)) {
        for (const auto& keyRecord : decodeApiKeyRecords(decodeConfigRecord(value.key, value.value).body)) {
            if (keyRecord.id == key)
                return TeamId(value.key.substr(s_grantsPrefix.size()));
        }
    }
    return std::nullopt;
}

ExitCode Commands::withdraw(const KeyId& key)
{
    while (true) {
        const auto team = teamOf(key);
        if (!team) {
            std::cerr << "no active key \"" << key.value() << "\"\n";
            return ExitCode::Invalid;
        }
        const auto held = read(keys::grants(*team));
        auto keyRecords = decodeApiKeyRecords(held.record.body);
        std::erase_if(keyRecords, [&key](const ApiKeyRecord& keyRecord) { return keyRecord.id == key; });
        const auto code = writeRecord(held, encode(keyRecords), "withdrawal of key " + key.value());
        // A concurrent change of the keys of the same team does not stop a revocation, so it is retried.
        if (code != ExitCode::Conflict)
            return code;
    }
}

ExitCode Commands::setDataCenterOutOfService(const DataCenterId& id, bool isOutOfService)
{
    const auto text = read(keys::fleetSpec);
    if (text.record.version == 0
        || !parseFleetSpec(text.record.body, "current fleet specification").dataCenters.contains(id)) {
        std::cerr << "no data centre \"" << id.value() << "\" in the current fleet specification\n";
        return ExitCode::Invalid;
    }
    const auto what = "data centre " + id.value() + (isOutOfService ? " out" : " back");
    return writeRecord(read(keys::dataCenter(id)), isOutOfService ? "out" : "in", what);
}

ExitCode Commands::status(const std::vector<Endpoint>& entries)
{
    std::vector<Endpoint> endpoints = entries;
    if (endpoints.empty()) {
        const auto value = m_platform.read(keys::members);
        if (value) {
            for (const auto& member : decodeMemberRecord(value->value).members)
                endpoints.push_back(member.endpoint);
        }
    }
    auto list = Json::array();
    for (const auto& endpoint : endpoints) {
        const auto result = m_platform.get(endpoint, "/status");
        auto status = result.isOk() ? Json::parse(result.body, nullptr, false) : Json();
        if (m_isJson) {
            list.push_back({ { "endpoint", endpoint.text() }, { "status", status } });
        } else if (!status.is_object()) {
            std::cout << endpoint.text() << "  no answer\n";
        } else {
            std::cout << endpoint.text() << "  data centre " << status.value("data_center", "") << "  holder "
                      << status.value("holder", 0) << "  " << status.value("contact", "") << "  requests "
                      << status.value("requests", 0) << "  text version " << status["config"].value(keys::fleetSpec, 0)
                      << '\n';
        }
    }
    if (m_isJson)
        std::cout << list.dump() << '\n';
    return ExitCode::Done;
}

ExitCode Commands::showCustomer(const CustomerId& id)
{
    const auto value = m_platform.read(keys::customer(id));
    if (!value) {
        std::cerr << "no customer \"" << id.value() << "\"\n";
        return ExitCode::Invalid;
    }
    const auto record = decodeCustomerRecord(value->value);
    if (m_isJson) {
        std::cout << value->value << '\n';
        return ExitCode::Done;
    }
    std::cout << "customer " << id.value() << "  team " << record.team.value() << "  "
              << (record.isCancelled ? "cancelled" : "active") << '\n';
    for (const auto& [key, setting] : record.settings)
        std::cout << "  " << key << " = " << setting << '\n';
    return ExitCode::Done;
}

ExitCode Commands::setCustomerCancelled(const CustomerId& id, bool isCancelled)
{
    while (true) {
        const auto value = m_platform.read(keys::customer(id));
        if (!value) {
            std::cerr << "no customer \"" << id.value() << "\"\n";
            return ExitCode::Invalid;
        }
        auto record = decodeCustomerRecord(value->value);
        record.isCancelled = isCancelled;
        const auto outcome = m_platform.write(keys::customer(id), encode(record), value->revision);
        if (outcome == WriteOutcome::Conflict)
            continue;
        return report(outcome, "customer " + id.value() + (isCancelled ? " cancelled" : " restored"), 0);
    }
}

} // namespace marigoldlink
