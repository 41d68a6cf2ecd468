// marigold-load: sends a mixed load to entry instances and checks the responses against the records of the workers.
#include "Load.h"

#include <boost/program_options.hpp>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace marigoldlink;
    namespace po = boost::program_options;
    std::vector<std::string> entries;
    std::vector<std::string> flows;
    std::vector<std::string> workers;
    std::int64_t milliseconds = 0;
    Load::Options load;
    po::options_description options("marigold-load: sends a mixed load to entry instances");
    options.add_options()("help", "print this help")(
        "entry", po::value(&entries)->multitoken()->required(), "addresses of entry instances")("flow",
        po::value(&flows)->multitoken()->required(), "queue=Q,key=K,rate=R,work_ms=W,deadline_ms=D,idempotent=true")(
        "worker", po::value(&workers)->multitoken(), "addresses of worker stubs whose records are compared")(
        "time-ms", po::value(&milliseconds)->default_value(5000), "duration of the load in milliseconds")(
        "seed", po::value(&load.seed)->default_value(1), "seed of the arrival times")(
        "prefix", po::value(&load.prefix)->default_value("load-"), "prefix of each request id")(
        "retry", po::bool_switch(&load.isRetrying), "retry at a random entry instance under the same id");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, options), values);
        if (values.count("help")) {
            std::cout << options;
            return 0;
        }
        po::notify(values);
        for (const auto& entry : entries)
            load.entries.push_back(Endpoint::parse(entry));
        for (const auto& flow : flows)
            load.flows.push_back(Flow::parse(flow));
        for (const auto& worker : workers)
            load.workers.push_back(Endpoint::parse(worker));
        load.time = Duration(milliseconds);
        EventLoop loop;
        Load run(loop, load);
        run.run();
        std::cout << run.report() << '\n';
        return run.isClean() ? 0 : 1;
    } catch (const std::exception& error) {
        std::cerr << "marigold-load: " << error.what() << '\n';
        return 2;
    }
}
