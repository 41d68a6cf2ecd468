// Calls between the gateway of one entry instance and the coordinator of another, in Thrift's compact form.
namespace cpp marigoldlink.wire

// What a caller asks of a job or a queue.
struct FleetCall {
  1: i32 kind
  2: string job
  3: string queue
  4: string record // the job as it is stored, for a submission
  5: optional i64 waitMs // the sender waits this long for the reply; earlier versions do not send it
  6: optional string team // that makes the call; earlier versions do not send this and the following
  7: optional string entry // endpoint of the instance that received the call
  8: optional i64 ageMs // since that instance received the call
}

struct FleetReply {
  1: i32 kind
  2: i32 state
  3: i64 waiting
  4: i64 retryAfterMs
}

// A record of the key-value service, passed on by an instance that reaches it.
struct FleetRecord {
  1: string key
  2: binary value
  3: i64 revision
}

// Asks an instance what it knows of the coordinator and of what operators ask for.
struct FleetStateCall {
  1: i64 operatorRevision // newest that the caller has; records are sent only if there is more
}

struct FleetState {
  1: string owner // endpoint of the coordinator; empty when none is known
  2: i64 ownerRevision
  3: i64 ageMs // since the key-value service confirmed it
  4: i64 operatorRevision
  5: list<FleetRecord> operatorRecords
}
