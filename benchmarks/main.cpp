// marigold-measure: runs the measurement that the argument names.
#include "Measures.h"

#include <functional>
#include <iostream>
#include <map>
#include <string>

int main(int argc, char** argv)
{
    using namespace marigoldlink::benchmarks;
    const std::map<std::string, std::function<void()>> measures { { "throughput", measureThroughput },
        { "slopes", measureSlopes }, { "shares", measureShares }, { "escrow", measureEscrow },
        { "planner", measurePlanner }, { "data-center", measureDataCenter }, { "coordinator", measureCoordinator },
        { "placement", measurePlacement }, { "calls", measureCalls } };
    const auto found = argc == 2 ? measures.find(argv[1]) : measures.end();
    if (found == measures.end()) {
        std::cerr << "usage: marigold-measure NAME, with NAME one of:";
        for (const auto& [name, measure] : measures)
            std::cerr << ' ' << name;
        std::cerr << '\n';
        return 2;
    }
    found->second();
    return 0;
}
