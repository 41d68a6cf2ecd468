// Load of a job of the job table, for the backlog of its pool.
#pragma once

#include "marigoldlink/Coordination/JobTable.h"
#include "marigoldlink/Scheduling/Backlog.h"

namespace marigoldlink {

// Load of the job's unfinished tasks; all zero for a job that has ended. The cost grows with its steps, not its tasks.
JobLoad loadOf(const JobTable&, const Job&);

} // namespace marigoldlink
