// The operators' text: services, pools, teams, queues, data centres and customers, validated whole.
#pragma once

#include "marigoldlink/State/Errors.h"
#include "marigoldlink/State/Types.h"

#include <map>
#include <string>
#include <vector>

namespace marigoldlink {

struct Service {
    ServiceId id;
    Urgency urgency { Urgency::Normal };
    PoolId pool;
    std::vector<ServiceId> dependsOn;
    Slots needSlots { 0 }; // slots that the service needs at its peak
    double availability { 0.99 }; // lowest accepted fraction of needed instance time, in (0, 1)
};

struct Pool {
    PoolId id;
    bool isSpare { false };
};

struct Team {
    TeamId id;
    double share { 0 }; // weight against other teams when the fleet is full
    Slots upperLimit { 0 }; // most tasks running at once in the whole fleet
};

struct Queue {
    QueueId id;
    ServiceId service;
    bool isOpen { false }; // accepts work without a key, on behalf of the team
    TeamId team; // team charged for the work of an open queue
};

struct DataCenter {
    DataCenterId id;
    std::string region;
};

struct Customer {
    CustomerId id;
    TeamId team;
    std::map<std::string, std::string> settings;
};

struct FleetText {
    std::string name;
    std::map<ServiceId, Service> services;
    std::map<PoolId, Pool> pools;
    std::map<TeamId, Team> teams;
    std::map<QueueId, Queue> queues;
    std::map<DataCenterId, DataCenter> dataCenters;
    std::map<CustomerId, Customer> customers;

    // The spare pool, or null when the text has none.
    const Pool* sparePool() const;
    Urgency urgency(const Queue&) const;
    const PoolId& pool(const Queue&) const;
};

// One fault of a text. Lines and columns count from 1; 0 means the whole text.
struct TextProblem {
    std::uint32_t line { 0 };
    std::uint32_t column { 0 };
    std::string message;
};

// Error(InvalidText) that carries every fault found.
class TextError : public Error {
public:
    TextError(const std::string& fileName, std::vector<TextProblem>);
    const std::vector<TextProblem>& problems() const { return m_problems; }

private:
    std::vector<TextProblem> m_problems;
};

// Reads and validates a text. The file name only serves the messages. Throws TextError.
FleetText parseFleetText(const std::string& text, const std::string& fileName);

} // namespace marigoldlink
