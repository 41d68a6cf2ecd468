// Settings fields that several programs read.
#pragma once

#include "marigoldlink/State/Types.h"
#include "marigoldlink/Support/Settings.h"

namespace marigoldlink {

// An address with a port. A fault is recorded in the settings.
Endpoint endpointField(Settings&, std::string_view field);

// A time in milliseconds within the bounds.
Duration millisecondsField(
    Settings&, std::string_view field, std::int64_t fallback, std::int64_t low, std::int64_t high);

std::string logLevelField(Settings&);

} // namespace marigoldlink
