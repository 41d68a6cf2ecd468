// Measures the requests answered for each class while a data centre is out of service or partitioned and then returns,
// compared with an undisturbed run of the same length.
#include "Cluster.h"
#include "Measures.h"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

namespace marigoldlink::benchmarks {

namespace {

    using testing::Cluster;
    using testing::ClusterOptions;
    using testing::Json;

    constexpr Duration s_loadTime { 18000 };
    constexpr Duration s_faultStart { 4000 };
    constexpr Duration s_faultTime { 8000 };

    std::string exampleFleetSpec()
    {
        std::ifstream in(std::string(MARIGOLD_SOURCE_DIRECTORY) + "/examples/celazime.toml");
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    }

    Flow flow(const std::string& queue, const std::string& key, double rate, std::int64_t workMs,
        std::int64_t deadlineMs, bool isIdempotent)
    {
        Flow result;
        result.queue = queue;
        result.key = key;
        result.rate = rate;
        result.workMs = workMs;
        result.deadlineMs = deadlineMs;
        result.isIdempotent = isIdempotent;
        return result;
    }

    template <typename Function> Json runLoad(Function injectFaults)
    {
        ClusterOptions options;
        options.dataCenters = { "riga-1", "riga-2", "riga-3" };
        options.entriesPerDataCenter = 2;
        options.workersPerDataCenter = 16;
        options.workersPerProcess = 16;
        options.slots = 8;
        options.fleetSpec = exampleFleetSpec();
        Cluster cluster(options);
        const auto gates = cluster.grantKey("gates");
        const auto bookings = cluster.grantKey("bookings");
        const auto finance = cluster.grantKey("finance");
        cluster.runFor(Duration(3000));
        auto load = cluster.load(
            { flow("gate-scan", gates, 200, 150, 1400, true), flow("booking", bookings, 120, 250, 5000, false),
                flow("settlement", finance, 40, 1000, 20000, true) },
            s_loadTime);
        load.isRetrying = true;
        Json report;
        std::thread thread([&] {
            EventLoop loop;
            Load run(loop, load);
            run.run();
            report = Json::parse(run.report());
        });
        injectFaults(cluster);
        thread.join();
        return report;
    }

    void print(const std::string& name, const Json& report)
    {
        for (const auto& item : report.at("flows")) {
            std::cout << std::left << std::setw(30) << name << std::setw(14) << item.at("queue").get<std::string>()
                      << std::right << std::setw(7) << item.at("sent").get<int>() << std::setw(10)
                      << item.at("answered").get<int>() << std::setw(9) << item.at("wait_ms").at("p99").get<int>()
                      << std::setw(9) << item.at("wait_ms").at("p99.9").get<int>() << std::setw(8)
                      << item.at("wait_ms").at("max").get<int>() << std::setw(8)
                      << (report.at("clean").get<bool>() ? "yes" : "no") << '\n';
        }
    }

} // namespace

void measureDataCenter()
{
    std::cout << std::left << std::setw(30) << "Celazime's fleet, 18 s of load" << std::setw(14) << "queue"
              << std::right << std::setw(7) << "sent" << std::setw(10) << "answered" << std::setw(9) << "p99 ms"
              << std::setw(9) << "p99.9" << std::setw(8) << "max" << std::setw(8) << "clean" << '\n';
    print("undisturbed", runLoad([](Cluster&) {}));
    print("out of service 4 s to 12 s", runLoad([](Cluster& cluster) {
        cluster.runFor(s_faultStart);
        cluster.runMarigoldctl({ "dc", "out", "riga-2" });
        cluster.runFor(s_faultTime);
        cluster.runMarigoldctl({ "dc", "back", "riga-2" });
    }));
    print("partitioned 4 s to 12 s", runLoad([](Cluster& cluster) {
        cluster.runFor(s_faultStart);
        cluster.partition("riga-2", true);
        cluster.runFor(s_faultTime);
        cluster.heal();
    }));
}

} // namespace marigoldlink::benchmarks
