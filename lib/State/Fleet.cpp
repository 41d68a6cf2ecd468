// Lookups in the active configuration.
#include "marigoldlink/State/Fleet.h"

namespace marigoldlink {

const JobQueue* FleetConfig::queueFor(std::string_view host, std::string_view path) const
{
    const JobQueue* longest = nullptr;
    for (const auto& [id, queue] : queues) {
        if (queue.host != host || !path.starts_with(queue.pathPrefix))
            continue;
        if (!longest || queue.pathPrefix.size() > longest->pathPrefix.size())
            longest = &queue;
    }
    return longest;
}

const WorkerPool* FleetConfig::sparePool() const
{
    for (const auto& [id, pool] : pools) {
        if (pool.isSpare)
            return &pool;
    }
    return nullptr;
}

} // namespace marigoldlink
