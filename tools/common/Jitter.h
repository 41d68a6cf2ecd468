// Random delays that spread retries of many processes.
#pragma once

#include "marigoldlink/State/Types.h"

namespace marigoldlink {

// A delay between half of and one and a half times the mean.
Duration jittered(Duration mean);

} // namespace marigoldlink
