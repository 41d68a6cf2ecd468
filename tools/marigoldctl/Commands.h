// Operator commands.
#pragma once

#include "PlatformCalls.h"
#include "marigoldlink/State/FleetSpec.h"

#include <string>
#include <vector>

namespace marigoldlink {

// Exit codes of marigoldctl, listed in docs/OPERATIONS.md.
enum class ExitCode { Done = 0, Invalid = 1, Usage = 2, Conflict = 3, Unknown = 4, Unavailable = 5 };

class Commands {
public:
    Commands(PlatformCalls& platform, bool isJson)
        : m_platform(platform)
        , m_isJson(isJson)
    {
    }

    ExitCode fetch();
    ExitCode plan(const std::string& fileName);
    // Writes the fleet specification if its current version is still fromVersion, the one that was edited. 0 accepts
    // any version.
    ExitCode apply(const std::string& fileName, std::uint64_t fromVersion);
    ExitCode grant(const TeamId&);
    ExitCode withdraw(const KeyId&);
    ExitCode setDataCenterOutOfService(const DataCenterId&, bool isOutOfService);
    ExitCode status(const std::vector<Endpoint>& entries);
    ExitCode showCustomer(const CustomerId&);
    ExitCode setCustomerCancelled(const CustomerId&, bool isCancelled);

private:
    struct StoredRecord {
        ConfigRecord record;
        Revision revision { noRevision };
    };

    StoredRecord read(const std::string& key);
    ExitCode writeRecord(StoredRecord, std::string body, const std::string& what);
    ExitCode report(WriteOutcome, const std::string& what, std::uint64_t version);
    void printChanges(const std::string& before, const std::string& after);
    bool storeCustomers(const FleetSpec&, const FleetSpec* former);
    std::optional<TeamId> teamOf(const KeyId&);

    PlatformCalls& m_platform;
    bool m_isJson;
};

// Reads a text file. Throws Error(InvalidText) when it cannot be read.
std::string readFile(const std::string& fileName);

} // namespace marigoldlink
