// The measurements behind docs/Measurements.md and docs/CAPACITY.md. Each prints a table to standard output.
#pragma once

namespace marigoldlink::benchmarks {

// Requests a second of one entry instance, its processor time for each, and the latency that it adds.
void measureThroughput();

// Control cost of each role at several sizes, and least-squares slopes.
void measureSlopes();

// Nearness to share of two policies with several entry instances.
void measureShares();

// Usable part of an upper limit, and platform writes, of three ways to keep it.
void measureEscrow();

// Planning time, moves and roll-out rounds of the keeper's planner.
void measurePlanner();

// Work done while a data centre leaves and returns, against the same time undisturbed.
void measureDataCenter();

// Processor time of a coordinator for each run, at several sizes of the fleet.
void measureCoordinator();

} // namespace marigoldlink::benchmarks
