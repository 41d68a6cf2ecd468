#include "Measures.h"
namespace marigoldlink::benchmarks {
void measureDataCenter() { }
} // namespace marigoldlink::benchmarks
