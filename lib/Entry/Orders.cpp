// Names of answers and outcomes in logs and metrics.
#include "marigoldlink/Entry/Coordinator.h"

namespace marigoldlink {

const char* name(StartAnswer answer)
{
    switch (answer) {
    case StartAnswer::Started:
        return "started";
    case StartAnswer::StaleFence:
        return "stale_fence";
    case StartAnswer::OldRun:
        return "old_run";
    case StartAnswer::Late:
        return "late";
    case StartAnswer::NoCapacity:
        return "no_room";
    case StartAnswer::NoTicket:
        return "no_ticket";
    case StartAnswer::Unhealthy:
        return "unhealthy";
    case StartAnswer::OtherIncarnation:
        return "other_life";
    case StartAnswer::Invalid:
        return "invalid";
    case StartAnswer::NotSent:
        return "not_sent";
    case StartAnswer::Unknown:
        return "unknown";
    }
    return "unknown";
}

const char* name(InstanceAnswer answer)
{
    switch (answer) {
    case InstanceAnswer::Done:
        return "done";
    case InstanceAnswer::StaleFence:
        return "stale_fence";
    case InstanceAnswer::Busy:
        return "busy";
    case InstanceAnswer::NotInWave:
        return "not_in_wave";
    case InstanceAnswer::Invalid:
        return "invalid";
    case InstanceAnswer::Refused:
        return "refused";
    case InstanceAnswer::Unknown:
        return "unknown";
    }
    return "unknown";
}

const char* name(StopReason reason)
{
    switch (reason) {
    case StopReason::JobEnded:
        return "job_ended";
    case StopReason::Maintenance:
        return "maintenance";
    case StopReason::StartUnanswered:
        return "start_unanswered";
    case StopReason::NotCurrent:
        return "not_current";
    case StopReason::IncompleteGang:
        return "incomplete_gang";
    }
    return "unknown";
}

const char* name(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Done:
        return "done";
    case CallOutcome::UnknownJob:
        return "unknown_job";
    case CallOutcome::Refused:
        return "refused";
    case CallOutcome::NotReached:
        return "not_reached";
    case CallOutcome::Unknown:
        return "unknown";
    case CallOutcome::KeyRejected:
        return "key_rejected";
    case CallOutcome::KeysNotCurrent:
        return "keys_not_current";
    case CallOutcome::NoSuchQueue:
        return "no_such_queue";
    case CallOutcome::Malformed:
        return "malformed";
    }
    return "unknown";
}

} // namespace marigoldlink
