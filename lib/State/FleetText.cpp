// Parser and validator of the operators' text.
#include "marigoldlink/State/FleetText.h"

#include <algorithm>
#include <functional>
#include <set>
#include <toml++/toml.h>

namespace marigoldlink {

namespace {

    std::string joinProblems(const std::string& fileName, const std::vector<TextProblem>& problems)
    {
        std::string joined;
        for (const auto& problem : problems) {
            if (!joined.empty())
                joined += '\n';
            joined += fileName + ":" + std::to_string(problem.line) + ":" + std::to_string(problem.column) + ": "
                + problem.message;
        }
        return joined;
    }

    // Reads one text; collects every fault instead of stopping at the first.
    class Reader {
    public:
        explicit Reader(const toml::table& root)
            : m_root(root)
        {
        }

        FleetText read()
        {
            rejectUnknownFields(
                m_root, "the text", { "fleet", "data_center", "pool", "service", "team", "queue", "customer" });
            if (const auto* fleet = m_root["fleet"].as_table())
                m_text.name = requiredString(*fleet, "fleet", "name");
            else
                report(m_root, "table [fleet] with a name is missing");
            forEach("data_center", [this](const toml::table& table) { readDataCenter(table); });
            forEach("pool", [this](const toml::table& table) { readPool(table); });
            forEach("team", [this](const toml::table& table) { readTeam(table); });
            forEach("service", [this](const toml::table& table) { readService(table); });
            forEach("queue", [this](const toml::table& table) { readQueue(table); });
            forEach("customer", [this](const toml::table& table) { readCustomer(table); });
            checkReferences();
            checkCycles();
            checkWhole();
            return std::move(m_text);
        }

        const std::vector<TextProblem>& problems() const { return m_problems; }

    private:
        void report(const toml::node& node, std::string message)
        {
            const auto& begin = node.source().begin;
            m_problems.push_back({ begin.line, begin.column, std::move(message) });
        }

        template <typename Function> void forEach(const char* kind, Function read)
        {
            const auto* node = m_root.get(kind);
            if (!node)
                return;
            const auto* array = node->as_array();
            if (!array || !array->is_array_of_tables()) {
                report(*node, std::string(kind) + " must be written as [[" + kind + "]]");
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
                report(*node, kind + "." + field + " must be a text that is not empty");
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

        double number(const toml::table& table, const std::string& kind, const char* field, double low, double high)
        {
            const auto* node = table.get(field);
            if (!node) {
                report(table, kind + " needs the field " + field);
                return low;
            }
            const auto value = node->value<double>();
            if (!value || !(*value >= low && *value <= high)) {
                report(
                    *node, kind + "." + field + " must be a number between " + trimmed(low) + " and " + trimmed(high));
                return low;
            }
            return *value;
        }

        static std::string trimmed(double value)
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
                report(*table.get("name"), kind + ".name may hold letters, digits, '-', '_' and '.' only");
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
            insert(m_text.dataCenters, std::move(value), table, "data_center");
        }

        void readPool(const toml::table& table)
        {
            rejectUnknownFields(table, "pool", { "name", "spare" });
            Pool value;
            value.id = identifier<PoolId>(table, "pool");
            value.isSpare = optionalBool(table, "pool", "spare");
            if (value.isSpare && m_text.sparePool())
                report(table, "a second spare pool; the text may have one");
            insert(m_text.pools, std::move(value), table, "pool");
        }

        void readTeam(const toml::table& table)
        {
            rejectUnknownFields(table, "team", { "name", "share", "upper_limit" });
            Team value;
            value.id = identifier<TeamId>(table, "team");
            value.share = number(table, "team", "share", 0.001, 1e6);
            value.upperLimit = static_cast<Slots>(number(table, "team", "upper_limit", 0, 1e7));
            insert(m_text.teams, std::move(value), table, "team");
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
            value.needSlots = static_cast<Slots>(number(table, "service", "need_slots", 0, 1e7));
            value.availability = number(table, "service", "availability", 0.5, 0.99999);
            if (const auto* node = table.get("depends_on")) {
                const auto* array = node->as_array();
                if (!array || (!array->empty() && !array->is_homogeneous<std::string>()))
                    report(*node, "service.depends_on must be a list of service names");
                else
                    for (const auto& item : *array)
                        value.dependsOn.emplace_back(*item.value<std::string>());
            }
            m_nodes["service " + value.id.value()] = &table;
            insert(m_text.services, std::move(value), table, "service");
        }

        void readQueue(const toml::table& table)
        {
            rejectUnknownFields(table, "queue", { "name", "service", "open", "team" });
            Queue value;
            value.id = identifier<QueueId>(table, "queue");
            value.service = ServiceId(requiredString(table, "queue", "service"));
            value.isOpen = optionalBool(table, "queue", "open");
            value.team = TeamId(optionalString(table, "queue", "team"));
            if (value.isOpen && value.team.empty())
                report(table, "an open queue needs the field team, which is charged for its work");
            if (!value.isOpen && !value.team.empty())
                report(table, "queue.team is for open queues; the team of a keyed queue is that of the key");
            m_nodes["queue " + value.id.value()] = &table;
            insert(m_text.queues, std::move(value), table, "queue");
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
                        report(node, "customer.settings." + std::string(key.str()) + " must be a text");
                }
            }
            m_nodes["customer " + value.id.value()] = &table;
            insert(m_text.customers, std::move(value), table, "customer");
        }

        template <typename Map, typename Key>
        void checkKnown(const Map& map, const Key& key, const std::string& owner, const std::string& kind)
        {
            if (key.empty() || map.contains(key))
                return;
            report(*m_nodes[owner], owner + " refers to the unknown " + kind + " \"" + key.value() + "\"");
        }

        void checkReferences()
        {
            for (const auto& [id, service] : m_text.services) {
                const auto owner = "service " + id.value();
                checkKnown(m_text.pools, service.pool, owner, "pool");
                for (const auto& other : service.dependsOn)
                    checkKnown(m_text.services, other, owner, "service");
            }
            for (const auto& [id, queue] : m_text.queues) {
                const auto owner = "queue " + id.value();
                checkKnown(m_text.services, queue.service, owner, "service");
                checkKnown(m_text.teams, queue.team, owner, "team");
            }
            for (const auto& [id, customer] : m_text.customers)
                checkKnown(m_text.teams, customer.team, "customer " + id.value(), "team");
        }

        void checkCycles()
        {
            std::set<ServiceId> finished;
            std::set<ServiceId> open;
            const std::function<void(const ServiceId&)> visit = [&](const ServiceId& id) {
                const auto found = m_text.services.find(id);
                if (found == m_text.services.end() || finished.contains(id))
                    return;
                if (!open.insert(id).second) {
                    const auto owner = "service " + id.value();
                    report(*m_nodes[owner], owner + " depends on itself through depends_on");
                    return;
                }
                for (const auto& other : found->second.dependsOn)
                    visit(other);
                open.erase(id);
                finished.insert(id);
            };
            for (const auto& [id, service] : m_text.services)
                visit(id);
            checkDependedAvailability();
        }

        // A service cannot be more available than what it depends on.
        void checkDependedAvailability()
        {
            for (const auto& [id, service] : m_text.services) {
                for (const auto& other : service.dependsOn) {
                    const auto found = m_text.services.find(other);
                    if (found == m_text.services.end() || found->second.availability >= service.availability)
                        continue;
                    const auto owner = "service " + id.value();
                    report(*m_nodes[owner],
                        owner + " cannot reach availability " + trimmed(service.availability) + ": it depends on "
                            + other.value() + " with " + trimmed(found->second.availability));
                }
            }
        }

        void checkWhole()
        {
            if (m_text.dataCenters.empty())
                report(m_root, "the text needs at least one [[data_center]]");
            if (m_text.teams.empty())
                report(m_root, "the text needs at least one [[team]]");
        }

        const toml::table& m_root;
        FleetText m_text;
        std::map<std::string, const toml::table*> m_nodes;
        std::vector<TextProblem> m_problems;
    };

} // namespace

TextError::TextError(const std::string& fileName, std::vector<TextProblem> problems)
    : Error(ErrorKind::InvalidText, joinProblems(fileName, problems))
    , m_problems(std::move(problems))
{
}

const Pool* FleetText::sparePool() const
{
    for (const auto& [id, pool] : pools) {
        if (pool.isSpare)
            return &pool;
    }
    return nullptr;
}

Urgency FleetText::urgency(const Queue& queue) const { return services.at(queue.service).urgency; }

const PoolId& FleetText::pool(const Queue& queue) const { return services.at(queue.service).pool; }

FleetText parseFleetText(const std::string& text, const std::string& fileName)
{
    try {
        const auto root = toml::parse(text, fileName);
        Reader reader(root);
        auto parsed = reader.read();
        if (!reader.problems().empty())
            throw TextError(fileName, reader.problems());
        return parsed;
    } catch (const toml::parse_error& error) {
        const auto& begin = error.source().begin;
        throw TextError(fileName, { { begin.line, begin.column, std::string(error.description()) } });
    }
}

} // namespace marigoldlink
