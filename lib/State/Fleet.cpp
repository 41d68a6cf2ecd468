// Look-ups in the configuration in force.
#include "marigoldlink/State/Fleet.h"

namespace marigoldlink {

const JobQueue* FleetConfig::queueFor(std::string_view host, std::string_view path) const
{
    const JobQueue* best = nullptr;
    for (const auto& [id, queue] : queues) {
        if (queue.host != host || !path.starts_with(queue.pathPrefix))
            continue;
        if (!best || queue.pathPrefix.size() > best->pathPrefix.size())
            best = &queue;
    }
    return best;
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
