// Records persisted in the platform's key-value service.
#pragma once

#include "marigoldlink/State/Types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marigoldlink {

// Revision that the key-value service assigned to a value. 0 denotes a key without a value.
enum class Revision : std::uint64_t {};
constexpr Revision noRevision { 0 };

// One key of the configuration. Keys are replicated separately, so that a small change transfers little data.
struct ConfigRecord {
    std::string key;
    // Invariant: strictly increases with each accepted write of the key.
    std::uint64_t version { 0 };
    std::string writeId; // identifies one write, to find out its outcome when the response was lost
    std::string body;

    friend bool operator==(const ConfigRecord&, const ConfigRecord&) = default;
};

// A granted API key. Only a salted hash of the secret is stored.
struct ApiKeyRecord {
    KeyId id;
    std::string salt; // hexadecimal
    std::string hash; // hexadecimal SHA-256 of salt and secret

    friend bool operator==(const ApiKeyRecord&, const ApiKeyRecord&) = default;
};

// Partition of a team's upper limit among the holders: the slots that each may use.
struct EscrowRecord {
    Slots limit { 0 };
    std::uint64_t limitVersion { 0 }; // version of the fleet specification that set the limit
    // Invariant: the sum never increases beyond the limit, nor at all while it exceeds the limit.
    std::map<HolderId, Slots> held;

    Slots total() const;
    friend bool operator==(const EscrowRecord&, const EscrowRecord&) = default;
};

enum class MemberState { Active, Leaving, Removing };

// An entry instance that may hold escrow, own request ids and open worker leases.
struct Member {
    HolderId holder {};
    DataCenterId dataCenter;
    Endpoint endpoint;
    MemberState state { MemberState::Active };
    std::uint64_t stateVersion { 0 }; // version of the record in which the state was set

    friend bool operator==(const Member&, const Member&) = default;
};

// Membership of the entry instances. Updated only by compare-and-swap.
struct MemberRecord {
    std::uint64_t version { 0 };
    std::uint64_t nextHolder { 1 };
    // Version in which the set of members that own request ids last changed.
    std::uint64_t ownersVersion { 0 };
    std::vector<Member> members;
    // Members removed before they handed over their request ids.
    std::vector<HolderId> removedHolders;

    const Member* find(HolderId) const;
    friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

enum class InstancePhase { Active, Draining, Rebooting, Quarantined };

// Pool assignment and maintenance phase of one instance. Pool membership is derived from these records alone.
struct InstanceRecord {
    InstanceId id;
    DataCenterId dataCenter;
    RackId rack;
    Endpoint endpoint;
    Slots slots { 0 };
    PoolId pool;
    InstancePhase phase { InstancePhase::Active };
    std::uint64_t epoch { 0 }; // increases with each change
    PoolId nextPool; // set while the instance drains to move to that pool; empty while it drains for a reboot
    std::uint64_t maintainedRound { 0 }; // last maintenance round in which the instance was rebooted

    friend bool operator==(const InstanceRecord&, const InstanceRecord&) = default;
};

// One entry of the platform's instance list, which is eventually consistent.
struct ListedInstance {
    InstanceId id;
    DataCenterId dataCenter;
    RackId rack;
    Endpoint endpoint;
    Slots slots { 0 };
    bool isLeaving { false };
};

// Slot time that a service needed but did not have in one window.
struct BudgetRecord {
    std::uint64_t window { 0 };
    double missedSlotSeconds { 0 };
};

// Settings of a customer. Stored apart from the fleet specification, so that no edit of it removes them.
struct CustomerRecord {
    CustomerId id;
    TeamId team;
    bool isCancelled { false };
    std::map<std::string, std::string> settings;

    friend bool operator==(const CustomerRecord&, const CustomerRecord&) = default;
};

namespace keys {
    inline const std::string configPrefix = "config/";
    inline const std::string fleetSpec = "config/text";
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
