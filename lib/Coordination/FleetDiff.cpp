// Comparison of two fleet specifications.
#include "marigoldlink/Coordination/FleetDiff.h"

#include <sstream>

namespace marigoldlink {

namespace {

    std::string describe(const Service& value)
    {
        std::ostringstream out;
        out << "class " << name(value.urgency) << ", pool " << value.pool << ", need " << value.peakSlots
            << " slots, availability " << value.availability << ", depends on";
        for (const auto& other : value.dependsOn)
            out << ' ' << other;
        return out.str();
    }

    std::string describe(const Pool& value) { return value.isSpare ? "spare" : "not spare"; }

    std::string describe(const Team& value)
    {
        std::ostringstream out;
        out << "share " << value.share << ", upper limit " << value.upperLimit;
        return out.str();
    }

    std::string describe(const Queue& value)
    {
        return "service " + value.service.value()
            + (value.allowsAnonymous ? ", open, team " + value.team.value() : ", keyed");
    }

    std::string describe(const DataCenter& value) { return "region " + value.region; }

    std::string describe(const Customer& value)
    {
        std::string text = "team " + value.team.value();
        for (const auto& [key, setting] : value.settings)
            text += ", " + key + " = " + setting;
        return text;
    }

    template <typename Map>
    void compare(const std::string& kind, const Map& before, const Map& after, std::vector<FleetChange>& changes)
    {
        for (const auto& [id, value] : after) {
            const auto old = before.find(id);
            if (old == before.end())
                changes.push_back({ '+', kind + " " + id.value() + ": " + describe(value) });
            else if (describe(old->second) != describe(value))
                changes.push_back(
                    { '~', kind + " " + id.value() + ": " + describe(old->second) + " -> " + describe(value) });
        }
        for (const auto& [id, value] : before) {
            if (!after.contains(id))
                changes.push_back({ '-', kind + " " + id.value() + ": " + describe(value) });
        }
    }

} // namespace

std::vector<FleetChange> describeChanges(const FleetSpec& before, const FleetSpec& after)
{
    std::vector<FleetChange> changes;
    compare("data centre", before.dataCenters, after.dataCenters, changes);
    compare("pool", before.pools, after.pools, changes);
    compare("service", before.services, after.services, changes);
    compare("team", before.teams, after.teams, changes);
    compare("queue", before.queues, after.queues, changes);
    compare("customer", before.customers, after.customers, changes);
    return changes;
}

std::vector<PoolCapacity> poolCapacities(const FleetSpec& spec, const std::vector<InstanceRecord>& records)
{
    std::map<PoolId, PoolCapacity> capacities;
    for (const auto& [id, pool] : spec.pools)
        capacities[id].pool = id;
    for (const auto& [id, service] : spec.services)
        capacities[service.pool].needed += service.peakSlots;
    for (const auto& record : records) {
        const auto found = capacities.find(record.pool);
        if (found != capacities.end() && record.phase == InstancePhase::Active)
            found->second.present += record.slots;
    }
    std::vector<PoolCapacity> list;
    list.reserve(capacities.size());
    for (const auto& [id, capacity] : capacities)
        list.push_back(capacity);
    return list;
}

} // namespace marigoldlink
