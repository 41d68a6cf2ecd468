// Randomized retry delays.
#include "Jitter.h"

#include <random>

namespace marigoldlink {

Duration jittered(Duration mean)
{
    static std::mt19937_64 generator(std::random_device {}());
    const auto half = mean.count() / 2;
    return Duration(std::uniform_int_distribution<std::int64_t>(half, mean.count() + half)(generator));
}

} // namespace marigoldlink
