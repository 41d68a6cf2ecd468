#include "Measures.h"
namespace marigoldlink::benchmarks {
void measureShares() { }
} // namespace marigoldlink::benchmarks
