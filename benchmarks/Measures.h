// The measurements whose results are in docs/Measurements.md and docs/CAPACITY.md. Each prints a table to standard
// output.
#pragma once

namespace marigoldlink::benchmarks {

// Requests per second of one entry instance, its processor time per request, and its latency compared with direct calls
// to a worker.
void measureThroughput();

// Cost of the control traffic of each role at several fleet sizes, with least-squares slopes.
void measureSlopes();

// Deviation of teams from their shares under two queue policies, with several entry instances.
void measureShares();

// Utilization of an upper limit and calls per second (platform writes in the case of escrow), for three methods to
// enforce it.
void measureEscrow();

// Planning time, moves and planning cycles of the keeper's planner.
void measurePlanner();

// Requests answered while a data centre is out of service and returns, compared with an undisturbed run.
void measureDataCenter();

// Processor time of a coordinator per task run, at several fleet sizes.
void measureCoordinator();

// Processor time of a placement pass and of the pool demands, by number of waiting steps.
void measurePlacement();

// Processor time of a call to a worker, at several fleet sizes.
void measureCalls();

} // namespace marigoldlink::benchmarks
