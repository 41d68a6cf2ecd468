// The defaults of the limits follow from the memory and the descriptors of the machine.
#include "LimitSettings.h"

#include "SettingsFields.h"

namespace marigoldlink {

namespace {

    // The smallest machine of the fleets.
    constexpr std::int64_t s_memoryMegabytes = 160;
    constexpr std::int64_t s_descriptors = 4096;
    constexpr std::int64_t s_maxMemoryMegabytes = 1048576;
    constexpr std::int64_t s_maxDescriptors = 1048576;
    constexpr std::int64_t s_minHeldBytes = 1048576;
    constexpr std::int64_t s_minConnections = 8;

    // A field whose default is given and which must not be above the bound.
    std::size_t size(Settings& file, const char* field, std::size_t fallback, std::int64_t low, std::int64_t high)
    {
        return static_cast<std::size_t>(file.integer(field, static_cast<std::int64_t>(fallback), low, high));
    }

} // namespace

ConnectionLimits connectionLimits(Settings& file)
{
    const auto memory = file.integer("limits.memory_mb", s_memoryMegabytes, 32, s_maxMemoryMegabytes);
    const auto descriptors = file.integer("limits.max_fds", s_descriptors, 64, s_maxDescriptors);
    auto limits = ConnectionLimits::forMachine(static_cast<std::size_t>(memory), static_cast<std::size_t>(descriptors));
    limits.heldBytes = size(file, "limits.held_bytes", limits.heldBytes, s_minHeldBytes, memory << 20);
    limits.heldBytesPerAddress = size(file, "limits.held_bytes_per_address", limits.heldBytes / 4 * 3,
        s_minHeldBytes / 4, static_cast<std::int64_t>(limits.heldBytes));
    limits.connections = size(file, "limits.connections", limits.connections, s_minConnections, descriptors);
    limits.connectionsPerAddress = size(file, "limits.connections_per_address", limits.connections / 4 * 3,
        s_minConnections / 4, static_cast<std::int64_t>(limits.connections));
    // Not above 65,536: h2o accepts a larger header only in part.
    limits.headerBytes = size(file, "limits.header_bytes", limits.headerBytes, 1024, 65536);
    limits.headerTime = millisecondsField(file, "limits.header_ms", limits.headerTime.count(), 100, 600000);
    limits.bodyTime = millisecondsField(file, "limits.body_ms", limits.bodyTime.count(), 100, 600000);
    limits.answerTime = millisecondsField(file, "limits.answer_ms", limits.answerTime.count(), 100, 600000);
    limits.idleTime = millisecondsField(file, "limits.idle_ms", limits.idleTime.count(), 1000, 600000);
    return limits;
}

} // namespace marigoldlink
