// Settings `limits.*` for what clients may hold and send.
#pragma once

#include "marigoldlink/Support/Settings.h"
#include "marigoldlink/Transport/ConnectionGuard.h"

namespace marigoldlink {

// Reads the limits of connections. Errors are recorded in the settings.
ConnectionLimits connectionLimits(Settings&);

} // namespace marigoldlink
