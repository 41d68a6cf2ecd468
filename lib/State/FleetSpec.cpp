// Parser and validator of the fleet specification.
#include "marigoldlink/State/FleetSpec.h"

#include <algorithm>
#include <functional>
#include <set>
#include <toml++/toml.h>

namespace marigoldlink {

namespace {

    std::string formatDiagnostics(const std::string& fileName, const std::vector<SpecDiagnostic>& diagnostics)
    {
        std::string formatted;
        for (const auto& diagnostic : diagnostics) {
            if (!formatted.empty())
                formatted += '\n';
            formatted += fileName + ":" + std::to_string(diagnostic.line) + ":" + std::to_string(diagnostic.column)
                + ": " + diagnostic.message;
        }
        return formatted;
    }

    // Parses one specification. Collects all diagnostics instead of stopping at the first.
    class Parser {
    public:
        explicit Parser(const toml::table& root)
            : m_root(root)
        {
        }

        FleetSpec read()
        {
            rejectUnknownFields(m_root, "the specification",
                { "fleet", "data_center", "pool", "service", "team", "queue", "customer" });
            if (const auto* fleet = m_root["fleet"].as_table())
                m_spec.name = requiredString(*fleet, "fleet", "name");
            else
                report(m_root, "missing table [fleet] with the field name");
            forEach("data_center", [this](const toml::table& table) { readDataCenter(table); });
            forEach("pool", [this](const toml::table& table) { readPool(table); });
            forEach("team", [this](const toml::table& table) { readTeam(table); });
            forEach("service", [this](const toml::table& table) { readService(table); });
            forEach("queue", [this](const toml::table& table) { readQueue(table); });
            forEach("customer", [this](const toml::table& table) { readCustomer(table); });
            checkReferences();
            checkCycles();
            checkRequiredTables();
            return std::move(m_spec);
        }

        const std::vector<SpecDiagnostic>& diagnostics() const { return m_diagnostics; }

    private:
        void report(const toml::node& node, std::string message)
        {
            const auto& begin = node.source().begin;
            m_diagnostics.push_back({ begin.line, begin.column, std::move(message) });
        }

        template <typename Function> void forEach(const char* kind, Function read)
        {
            const auto* node = m_root.get(kind);
            if (!node)
                return;
            const auto* array = node->as_array();
            if (!array || !array->is_array_of_tables()) {
                report(*node, std::string(kind) + " must be an array of tables, written as [[" + kind + "]]");
                return;
            }
            for (const auto& item : *array)
                read(*item.as_table());
        }

        void rejectUnknownFields(const toml::table& table, const std::string& where, std::set<std::string_view> known)
        {
            for (const auto& [key, node] : table) {
                if (known.contains(key.str()))
                    continue;
                std::string accepted;
                for (auto field : known)
                    accepted += (accepted.empty() ? "" : ", ") + std::string(field);
                report(node, where + " has no field \"" + std::string(key.str()) + "\"; accepted: " + accepted);
            }
        }

        std::string requiredString(const toml::table& table, const std::string& kind, const char* field)
        {
            const auto* node = table.get(field);
            if (!node) {
                report(table, kind + " needs the field " + field);
                return {};
            }
            const auto value = node->value_exact<std::string>();
            if (!value || value->empty()) {
                report(*node, kind + "." + field + " must be a non-empty string");
                return {};
            }
            return *value;
        }

        std::string optionalString(const toml::table& table, const std::string& kind, const char* field)
        {
            return table.contains(field) ? requiredString(table, kind, field) : std::string();
        }

        bool optionalBool(const toml::table& table, const std::string& kind, const char* field)
        {
            const auto* node = table.get(field);
            if (!node)
                return false;
            const auto value = node->value_exact<bool>();
            if (!value)
                report(*node, kind + "." + field + " must be true or false");
            return value.value_or(false);
        }

        double number(const toml::table& table, const std::string& kind, const char* field, double min, double max)
        {
            const auto* node = table.get(field);
            if (!node) {
                report(table, kind + " needs the field " + field);
                return min;
            }
            const auto value = node->value<double>();
            if (!value || !(*value >= min && *value <= max)) {
                report(*node,
                    kind + "." + field + " must be a number between " + formatNumber(min) + " and "
                        + formatNumber(max));
                return min;
            }
            return *value;
        }

        static std::string formatNumber(double value)
        {
            std::ostringstream out;
            out << value;
            return out.str();
        }

        template <typename Key> Key identifier(const toml::table& table, const std::string& kind)
        {
            const auto text = requiredString(table, kind, "name");
            const bool isPlain = std::all_of(text.begin(), text.end(),
                [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; });
            if (!isPlain)
                report(*table.get("name"), kind + ".name may contain only letters, digits, '-', '_' and '.'");
            return Key(text);
        }

        template <typename Map, typename Value>
        void insert(Map& map, Value value, const toml::table& table, const std::string& kind)
        {
            if (value.id.empty())
                return;
            const auto id = value.id;
            if (!map.emplace(id, std::move(value)).second)
                report(table, kind + " \"" + id.value() + "\" is defined twice");
        }

        void readDataCenter(const toml::table& table)
        {
            rejectUnknownFields(table, "data_center", { "name", "region" });
            DataCenter value;
            value.id = identifier<DataCenterId>(table, "data_center");
            value.region = optionalString(table, "data_center", "region");
            insert(m_spec.dataCenters, std::move(value), table, "data_center");
        }

        void readPool(const toml::table& table)
        {
            rejectUnknownFields(table, "pool", { "name", "spare" });
            Pool value;
            value.id = identifier<PoolId>(table, "pool");
            value.isSpare = optionalBool(table, "pool", "spare");
            if (value.isSpare && m_spec.sparePool())
                report(table, "more than one spare pool; at most one is allowed");
            insert(m_spec.pools, std::move(value), table, "pool");
        }

        void readTeam(const toml::table& table)
        {
            rejectUnknownFields(table, "team", { "name", "share", "upper_limit" });
            Team value;
            value.id = identifier<TeamId>(table, "team");
            value.share = number(table, "team", "share", 0.001, 1e6);
            value.upperLimit = static_cast<Slots>(number(table, "team", "upper_limit", 0, 1e7));
            insert(m_spec.teams, std::move(value), table, "team");
        }

        Urgency urgency(const toml::table& table)
        {
            const auto text = requiredString(table, "service", "class");
            if (text == "urgent")
                return Urgency::Urgent;
            if (text == "deferrable")
                return Urgency::Deferrable;
            if (text != "normal" && !text.empty())
                report(*table.get("class"), "service.class must be urgent, normal or deferrable");
            return Urgency::Normal;
        }

        void readService(const toml::table& table)
        {
            rejectUnknownFields(
                table, "service", { "name", "class", "pool", "depends_on", "need_slots", "availability" });
            Service value;
            value.id = identifier<ServiceId>(table, "service");
            value.urgency = urgency(table);
            value.pool = PoolId(requiredString(table, "service", "pool"));
            value.peakSlots = static_cast<Slots>(number(table, "service", "need_slots", 0, 1e7));
            value.availability = number(table, "service", "availability", 0.5, 0.99999);
            if (const auto* node = table.get("depends_on")) {
                const auto* array = node->as_array();
                if (!array || (!array->empty() && !array->is_homogeneous<std::string>()))
                    report(*node, "service.depends_on must be an array of service names");
                else
                    for (const auto& item : *array)
                        value.dependsOn.emplace_back(*item.value<std::string>());
            }
            m_declarations["service " + value.id.value()] = &table;
            insert(m_spec.services, std::move(value), table, "service");
        }

        void readQueue(const toml::table& table)
        {
            rejectUnknownFields(table, "queue", { "name", "service", "open", "team" });
            Queue value;
            value.id = identifier<QueueId>(table, "queue");
            value.service = ServiceId(requiredString(table, "queue", "service"));
            value.allowsAnonymous = optionalBool(table, "queue", "open");
            value.team = TeamId(optionalString(table, "queue", "team"));
            if (value.allowsAnonymous && value.team.empty())
                report(table, "a queue with open = true requires the field team, which is charged for its work");
            if (!value.allowsAnonymous && !value.team.empty())
                report(
                    table, "queue.team is allowed only with open = true; other queues take the team from the API key");
            m_declarations["queue " + value.id.value()] = &table;
            insert(m_spec.queues, std::move(value), table, "queue");
        }

        void readCustomer(const toml::table& table)
        {
            rejectUnknownFields(table, "customer", { "name", "team", "settings" });
            Customer value;
            value.id = identifier<CustomerId>(table, "customer");
            value.team = TeamId(requiredString(table, "customer", "team"));
            if (const auto* settings = table["settings"].as_table()) {
                for (const auto& [key, node] : *settings) {
                    if (const auto text = node.value_exact<std::string>())
                        value.settings.emplace(key.str(), *text);
                    else
                        report(node, "customer.settings." + std::string(key.str()) + " must be a string");
                }
            }
            m_declarations["customer " + value.id.value()] = &table;
            insert(m_spec.customers, std::move(value), table, "customer");
        }

        template <typename Map, typename Key>
        void checkReference(const Map& map, const Key& key, const std::string& owner, const std::string& kind)
        {
            if (key.empty() || map.contains(key))
                return;
            report(*m_declarations[owner], owner + " refers to the unknown " + kind + " \"" + key.value() + "\"");
        }

        void checkReferences()
        {
            for (const auto& [id, service] : m_spec.services) {
                const auto owner = "service " + id.value();
                checkReference(m_spec.pools, service.pool, owner, "pool");
                for (const auto& other : service.dependsOn)
                    checkReference(m_spec.services, other, owner, "service");
            }
            for (const auto& [id, queue] : m_spec.queues) {
                const auto owner = "queue " + id.value();
                checkReference(m_spec.services, queue.service, owner, "service");
                checkReference(m_spec.teams, queue.team, owner, "team");
            }
            for (const auto& [id, customer] : m_spec.customers)
                checkReference(m_spec.teams, customer.team, "customer " + id.value(), "team");
        }

        void checkCycles()
        {
            std::set<ServiceId> visited;
            std::set<ServiceId> onPath;
            const std::function<void(const ServiceId&)> visit = [&](const ServiceId& id) {
                const auto found = m_spec.services.find(id);
                if (found == m_spec.services.end() || visited.contains(id))
                    return;
                if (!onPath.insert(id).second) {
                    const auto owner = "service " + id.value();
                    report(*m_declarations[owner], owner + " depends on itself: cycle in depends_on");
                    return;
                }
                for (const auto& other : found->second.dependsOn)
                    visit(other);
                onPath.erase(id);
                visited.insert(id);
            };
            for (const auto& [id, service] : m_spec.services)
                visit(id);
            checkDependencyAvailability();
        }

        // A service cannot be more available than its dependencies.
        void checkDependencyAvailability()
        {
            for (const auto& [id, service] : m_spec.services) {
                for (const auto& other : service.dependsOn) {
                    const auto found = m_spec.services.find(other);
                    if (found == m_spec.services.end() || found->second.availability >= service.availability)
                        continue;
                    const auto owner = "service " + id.value();
                    report(*m_declarations[owner],
                        owner + " cannot reach availability " + formatNumber(service.availability) + ": it depends on "
                            + other.value() + ", which has " + formatNumber(found->second.availability));
                }
            }
        }

        void checkRequiredTables()
        {
            if (m_spec.dataCenters.empty())
                report(m_root, "at least one [[data_center]] is required");
            if (m_spec.teams.empty())
                report(m_root, "at least one [[team]] is required");
        }

        const toml::table& m_root;
        FleetSpec m_spec;
        std::map<std::string, const toml::table*> m_declarations;
        std::vector<SpecDiagnostic> m_diagnostics;
    };

} // namespace

TextError::TextError(const std::string& fileName, std::vector<SpecDiagnostic> diagnostics)
    : Error(ErrorKind::InvalidText, formatDiagnostics(fileName, diagnostics))
    , m_diagnostics(std::move(diagnostics))
{
}

const Pool* FleetSpec::sparePool() const
{
    for (const auto& [id, pool] : pools) {
        if (pool.isSpare)
            return &pool;
    }
    return nullptr;
}

Urgency FleetSpec::urgency(const Queue& queue) const { return services.at(queue.service).urgency; }

const PoolId& FleetSpec::pool(const Queue& queue) const { return services.at(queue.service).pool; }

FleetSpec parseFleetSpec(const std::string& text, const std::string& fileName)
{
    try {
        const auto root = toml::parse(text, fileName);
        Parser parser(root);
        auto parsed = parser.read();
        if (!parser.diagnostics().empty())
            throw TextError(fileName, parser.diagnostics());
        return parsed;
    } catch (const toml::parse_error& error) {
        const auto& begin = error.source().begin;
        throw TextError(fileName, { { begin.line, begin.column, std::string(error.description()) } });
    }
}

} // namespace marigoldlink
