// Error kinds and their mapping to HTTP responses.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace marigoldlink {

// Whether a request was executed, as far as is known when an error is returned for it.
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

// HTTP response of one error kind.
struct ErrorInfo {
    ErrorKind kind;
    const char* name;
    int httpStatus;
    bool retryable;
    RunState runState;
    int retryAfterSeconds; // 0: no Retry-After header
};

const ErrorInfo& errorInfo(ErrorKind);
std::optional<ErrorKind> errorKind(std::string_view name);
const char* name(RunState);

// Exception type used by all layers.
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
