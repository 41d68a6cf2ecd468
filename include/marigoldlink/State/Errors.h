// The closed list of error kinds and the table from kind to answer.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace marigoldlink {

// What is known about the execution of a request when it is refused.
enum class RunState { NotRun, Unknown, Ran };

enum class ErrorKind {
    MalformedRequest,
    RequestTooLarge,
    UnknownQueue,
    KeyMissing,
    KeyRejected,
    KeyUnconfirmed,
    QueueFull,
    DeadlinePassed,
    Cancelled,
    NoCapacity,
    NoConfiguration,
    Stopping,
    DataCenterOut,
    OwnerUnreachable,
    OwnerUnsettled,
    DuplicateRunning,
    DuplicateFinished,
    WorkerLost,
    TaskFailed,
    PlatformUnavailable,
    VersionConflict,
    InvalidText,
    InvalidSettings,
    Internal,
};
constexpr int errorKindCount = static_cast<int>(ErrorKind::Internal) + 1;

// One row of the table from error kind to answer.
struct ErrorRow {
    ErrorKind kind;
    const char* name;
    int httpStatus;
    bool retryable;
    RunState runState;
    int retryAfterSeconds; // 0 when the answer carries no Retry-After header.
};

const ErrorRow& errorRow(ErrorKind);
std::optional<ErrorKind> errorKind(std::string_view name);
const char* name(RunState);

// The exception of every layer.
class Error : public std::runtime_error {
public:
    Error(ErrorKind kind, const std::string& message)
        : std::runtime_error(message)
        , m_kind(kind)
    {
    }

    ErrorKind kind() const { return m_kind; }

private:
    ErrorKind m_kind;
};

} // namespace marigoldlink
