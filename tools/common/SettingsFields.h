// Readers for settings fields used by several programs.
#pragma once

#include "marigoldlink/State/Types.h"
#include "marigoldlink/Support/Settings.h"

namespace marigoldlink {

// Reads an address with a port. An error is recorded in the settings.
Endpoint endpointField(Settings&, std::string_view field);

// Reads a time in milliseconds between low and high.
Duration millisecondsField(
    Settings&, std::string_view field, std::int64_t fallback, std::int64_t low, std::int64_t high);

std::string logLevelField(Settings&);

} // namespace marigoldlink
