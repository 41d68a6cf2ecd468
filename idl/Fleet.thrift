// Calls between the gateway of one entry instance and the coordinator of another, in Thrift's compact form.
namespace cpp marigoldlink.wire

// What a caller asks of a job or a queue.
struct FleetCall {
  1: i32 kind
  2: string job
  3: string queue
  4: string record // the job as it is stored, for a submission
}

struct FleetReply {
  1: i32 kind
  2: i32 state
  3: i64 waiting
  4: i64 retryAfterMs
}
