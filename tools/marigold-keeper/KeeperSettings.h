// Settings of one keeper.
#pragma once

#include "marigoldlink/State/Types.h"

#include <string>

namespace marigoldlink {

struct KeeperSettings {
    Endpoint listen;
    Endpoint platform;
    std::string logLevel;
    Duration round { 0 };
    Duration drainSettle { 0 }; // a draining instance may still get work for so long
    Duration turn { 0 }; // a keeper whose turn was not renewed for so long loses it
    std::int64_t waveWidth { 0 };
    std::int64_t maintenanceRound { 0 };

    // Throws std::runtime_error with every fault of the file.
    static KeeperSettings load(const std::string& fileName);
};

} // namespace marigoldlink
