// The operators' fleet specification: services, pools, teams, queues, data centres and customers. It is validated as a
// whole.
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
    Slots peakSlots { 0 }; // slots needed at peak load
    double availability { 0.99 }; // minimum fraction of the needed instance time that must be available, in (0, 1)
};

struct Pool {
    PoolId id;
    bool isSpare { false };
};

struct Team {
    TeamId id;
    double share { 0 }; // fair-share weight when the fleet is at capacity
    Slots upperLimit { 0 }; // maximum number of tasks running concurrently in the fleet
};

struct Queue {
    QueueId id;
    ServiceId service;
    bool allowsAnonymous { false }; // without authentication: accepts requests without an API key
    TeamId team; // team charged for the work of a queue without authentication; empty otherwise
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

struct FleetSpec {
    std::string name;
    std::map<ServiceId, Service> services;
    std::map<PoolId, Pool> pools;
    std::map<TeamId, Team> teams;
    std::map<QueueId, Queue> queues;
    std::map<DataCenterId, DataCenter> dataCenters;
    std::map<CustomerId, Customer> customers;

    // Returns the spare pool, or null if the specification has none.
    const Pool* sparePool() const;
    Urgency urgency(const Queue&) const;
    const PoolId& pool(const Queue&) const;
};

// A validation error. Lines and columns count from 1; 0 refers to the whole file.
struct SpecDiagnostic {
    std::uint32_t line { 0 };
    std::uint32_t column { 0 };
    std::string message;
};

// Error(InvalidText) with all diagnostics of a file.
class TextError : public Error {
public:
    TextError(const std::string& fileName, std::vector<SpecDiagnostic>);
    const std::vector<SpecDiagnostic>& diagnostics() const { return m_diagnostics; }

private:
    std::vector<SpecDiagnostic> m_diagnostics;
};

// Parses and validates a specification. The file name is used in diagnostics only. Throws TextError.
FleetSpec parseFleetSpec(const std::string& text, const std::string& fileName);

} // namespace marigoldlink
