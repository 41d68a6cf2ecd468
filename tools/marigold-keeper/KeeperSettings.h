// Settings of one keeper.
#pragma once

#include "marigoldlink/State/Types.h"
#include "marigoldlink/Transport/ConnectionGuard.h"

#include <string>

namespace marigoldlink {

struct KeeperSettings {
    Endpoint listen;
    Endpoint platform;
    std::string logLevel;
    Duration round { 0 };
    Duration drainSettle { 0 }; // time for which a draining instance may still receive work
    // The leadership lease can be taken over if it is not renewed for this time.
    Duration leadershipTimeout { 0 };
    std::int64_t waveWidth { 0 };
    std::int64_t maintenanceRound { 0 };
    ConnectionLimits limits;

    // Throws std::runtime_error that lists all errors of the file.
    static KeeperSettings load(const std::string& fileName);
};

} // namespace marigoldlink
