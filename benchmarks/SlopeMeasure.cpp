#include "Measures.h"
namespace marigoldlink::benchmarks {
void measureSlopes() { }
} // namespace marigoldlink::benchmarks
