// Randomized delays that spread the retries of many processes over time.
#pragma once

#include "marigoldlink/State/Types.h"

namespace marigoldlink {

// Returns a uniformly distributed delay between 0.5 and 1.5 times the mean.
Duration jittered(Duration mean);

} // namespace marigoldlink
