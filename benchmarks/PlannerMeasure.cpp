#include "Measures.h"
namespace marigoldlink::benchmarks {
void measurePlanner() { }
} // namespace marigoldlink::benchmarks
