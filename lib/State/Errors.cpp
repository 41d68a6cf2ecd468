// Mapping from error kind to HTTP response.
#include "marigoldlink/State/Errors.h"

#include <array>
#include <cassert>

namespace marigoldlink {

namespace {

    constexpr std::array<ErrorInfo, errorKindCount> s_rows { {
        { ErrorKind::MalformedRequest, "malformed-request", 400, false, RunState::NotRun, 0 },
        { ErrorKind::RequestTooLarge, "request-too-large", 413, false, RunState::NotRun, 0 },
        { ErrorKind::UnknownQueue, "unknown-queue", 404, false, RunState::NotRun, 0 },
        { ErrorKind::KeyMissing, "key-missing", 401, false, RunState::NotRun, 0 },
        { ErrorKind::KeyRejected, "key-rejected", 403, false, RunState::NotRun, 0 },
        { ErrorKind::KeyUnconfirmed, "key-unconfirmed", 503, true, RunState::NotRun, 2 },
        { ErrorKind::QueueFull, "queue-full", 429, true, RunState::NotRun, 1 },
        { ErrorKind::DeadlinePassed, "deadline-passed", 504, true, RunState::NotRun, 0 },
        { ErrorKind::Cancelled, "cancelled", 499, false, RunState::NotRun, 0 },
        { ErrorKind::NoCapacity, "no-capacity", 503, true, RunState::NotRun, 1 },
        { ErrorKind::NoConfiguration, "no-configuration", 503, true, RunState::NotRun, 1 },
        { ErrorKind::Stopping, "stopping", 503, true, RunState::NotRun, 1 },
        { ErrorKind::DataCenterOut, "data-center-out", 503, true, RunState::NotRun, 1 },
        { ErrorKind::OwnerUnreachable, "owner-unreachable", 503, true, RunState::NotRun, 1 },
        { ErrorKind::OwnerUnsettled, "owner-unsettled", 503, true, RunState::Unknown, 5 },
        { ErrorKind::DuplicateRunning, "duplicate-running", 409, true, RunState::Unknown, 1 },
        { ErrorKind::DuplicateFinished, "duplicate-finished", 409, false, RunState::Ran, 0 },
        { ErrorKind::WorkerLost, "worker-lost", 502, true, RunState::Unknown, 0 },
        { ErrorKind::TaskFailed, "task-failed", 500, false, RunState::Ran, 0 },
        { ErrorKind::PlatformUnavailable, "platform-unavailable", 503, true, RunState::NotRun, 2 },
        { ErrorKind::VersionConflict, "version-conflict", 409, true, RunState::NotRun, 0 },
        { ErrorKind::InvalidText, "invalid-text", 400, false, RunState::NotRun, 0 },
        { ErrorKind::InvalidSettings, "invalid-settings", 400, false, RunState::NotRun, 0 },
        { ErrorKind::Internal, "internal", 500, true, RunState::Unknown, 0 },
    } };

} // namespace

const ErrorInfo& errorInfo(ErrorKind kind)
{
    const auto& row = s_rows.at(static_cast<std::size_t>(kind));
    assert(row.kind == kind && "error table rows must be in the order of ErrorKind");
    return row;
}

std::optional<ErrorKind> errorKind(std::string_view name)
{
    for (const auto& row : s_rows) {
        if (name == row.name)
            return row.kind;
    }
    return std::nullopt;
}

const char* name(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not run";
    case RunState::Unknown:
        return "unknown";
    case RunState::Ran:
        return "ran";
    }
    return "unknown";
}

} // namespace marigoldlink
