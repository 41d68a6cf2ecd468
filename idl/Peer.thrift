// Messages between entry instances. Each is the body of one HTTP call to a peer, in Thrift's compact form.
namespace cpp marigoldlink.wire

// Load of one pool in the sender's data centre, as the sender sees it.
struct PoolLoad {
  1: string pool
  2: i64 freeSlots
  3: i64 queued
}

// What the sender runs of one team. Teams without tasks, queue and idle escrow are left out.
struct TeamLoad {
  1: string team
  2: i64 running
  3: i64 queued
  4: i64 idleEscrow
  5: bool isShort // the sender wants more of the limit than it could get
}

// Sent in both directions of one exchange.
struct Heartbeat {
  1: i64 holder
  2: string dataCenter
  3: i64 membersVersion
  4: i64 configDigest
  5: i64 confirmationAgeMs
  6: list<PoolLoad> pools
  7: list<TeamLoad> teams
  8: i64 sequence // numbers the sender's messages to this receiver
  9: i64 acknowledged // the receiver's last sequence that the sender saw
}

struct ConfigItem {
  1: string key
  2: i64 version
  3: string writeId
  4: string body
}

// Asks for records that are newer than these versions.
struct ConfigRequest {
  1: map<string, i64> versions
}

struct ConfigReply {
  1: list<ConfigItem> items
}

struct MembersReply {
  1: string record
}

struct ClaimItem {
  1: string request
  2: i64 claimant
  3: i64 attempt
  4: bool isFinished
}

struct ClaimCall {
  1: ClaimItem claim
  2: i64 ownersVersion
}

struct ClaimReply {
  1: i32 verdict
  2: ClaimItem claim
}

// Ends a claim: forgotten when the attempt surely did not run, finished otherwise.
struct ClaimEnd {
  1: ClaimItem claim
  2: bool isReleased
}

struct Handover {
  1: i64 sender
  2: i64 ownersVersion
  3: list<ClaimItem> claims
}

// Asks the claimant what became of an attempt.
struct OutcomeCall {
  1: ClaimItem claim
}

struct OutcomeReply {
  1: bool isKnown
  2: bool isRunning
  3: bool hasAnswer
  4: string errorName // empty when the task finished
  5: string body
}

// Passes a queued request on to a peer, which runs it or refuses it.
struct ForwardCall {
  1: i64 sender
  2: string team
  3: string queue
  4: string body
  5: i64 remainingMs
  6: bool isIdempotent
  7: string checkpoint
  8: i64 call // number of the call, for ForwardCancel; 0 from senders of earlier versions
}

// Cancels a forwarded request.
struct ForwardCancel {
  1: i64 sender
  2: i64 call
}

struct ForwardReply {
  1: string errorName // empty when the task finished
  2: string body
}
