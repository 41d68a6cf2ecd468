#include "Measures.h"
namespace marigoldlink::benchmarks {
void measureEscrow() { }
} // namespace marigoldlink::benchmarks
