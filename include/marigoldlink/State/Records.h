// The records that last in the platform's key-value service.
#pragma once

#include "marigoldlink/State/Types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marigoldlink {

// Revision that the key-value service gave to a value. 0 stands for a key without a value.
enum class Revision : std::uint64_t {};
constexpr Revision noRevision { 0 };

// One piece of configuration. Pieces travel alone, so that a small change stays small.
struct ConfigRecord {
    std::string key;
    // Invariant: grows with each accepted write of the key and never returns to an earlier value.
    std::uint64_t version { 0 };
    std::string writeId; // identifies one write, to resolve a lost answer
    std::string body;

    friend bool operator==(const ConfigRecord&, const ConfigRecord&) = default;
};

// A granted key. Only a salted hash of the secret is kept.
struct KeyGrant {
    KeyId id;
    std::string salt; // hexadecimal
    std::string hash; // hexadecimal SHA-256 of salt and secret

    friend bool operator==(const KeyGrant&, const KeyGrant&) = default;
};

// How much of a team's upper limit each holder may run.
struct EscrowRecord {
    Slots limit { 0 };
    std::uint64_t limitVersion { 0 }; // version of the text that set the limit
    // Invariant: the sum never grows while it exceeds the limit, and never grows past it.
    std::map<HolderId, Slots> held;

    Slots total() const;
    friend bool operator==(const EscrowRecord&, const EscrowRecord&) = default;
};

enum class MemberState { Active, Leaving, Removing };

// One entry instance that may hold escrow, own request ids and open worker leases.
struct Member {
    HolderId holder {};
    DataCenterId dataCenter;
    Endpoint endpoint;
    MemberState state { MemberState::Active };
    std::uint64_t stateVersion { 0 }; // version of the record that set the state

    friend bool operator==(const Member&, const Member&) = default;
};

// The members of the fleet. It changes only by compare-and-swap.
struct MemberRecord {
    std::uint64_t version { 0 };
    std::uint64_t nextHolder { 1 };
    // Version at which the set of members that own request ids changed last.
    std::uint64_t ownersVersion { 0 };
    std::vector<Member> members;
    // Members that were removed without handing over the request ids that they owned.
    std::vector<HolderId> lost;

    const Member* find(HolderId) const;
    friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

enum class InstancePhase { Active, Draining, Rebooting, Quarantined };

// The pool of one instance. Pool membership is derived from these records alone.
struct InstanceRecord {
    InstanceId id;
    DataCenterId dataCenter;
    RackId rack;
    Endpoint endpoint;
    Slots slots { 0 };
    PoolId pool;
    InstancePhase phase { InstancePhase::Active };
    std::uint64_t epoch { 0 }; // grows with each change
    PoolId nextPool; // set while the instance drains for a move; empty while it drains for a reboot
    std::uint64_t maintainedRound { 0 }; // maintenance round in which it was rebooted last

    friend bool operator==(const InstanceRecord&, const InstanceRecord&) = default;
};

// One row of the platform's lagging instance list.
struct InstanceInfo {
    InstanceId id;
    DataCenterId dataCenter;
    RackId rack;
    Endpoint endpoint;
    Slots slots { 0 };
    bool isLeaving { false };
};

// What a service missed of its need in one window.
struct BudgetRecord {
    std::uint64_t window { 0 };
    double missedSlotSeconds { 0 };
};

// A customer's settings, kept apart from the text so that no edit of it removes them.
struct CustomerRecord {
    CustomerId id;
    TeamId team;
    bool isCancelled { false };
    std::map<std::string, std::string> settings;

    friend bool operator==(const CustomerRecord&, const CustomerRecord&) = default;
};

namespace keys {
    inline const std::string configPrefix = "config/";
    inline const std::string text = "config/text";
    inline const std::string members = "members";
    inline const std::string instancePrefix = "instance/";
    inline const std::string customerPrefix = "customer/";
    inline const std::string budgetPrefix = "budget/";
    inline std::string grants(const TeamId& team) { return "config/key/" + team.value(); }
    inline std::string dataCenter(const DataCenterId& id) { return "config/dc/" + id.value(); }
    inline std::string escrow(const TeamId& team) { return "escrow/" + team.value(); }
    inline std::string instance(const InstanceId& id) { return instancePrefix + id.value(); }
    inline std::string budget(const ServiceId& id) { return budgetPrefix + id.value(); }
    inline std::string customer(const CustomerId& id) { return customerPrefix + id.value(); }
} // namespace keys

} // namespace marigoldlink
