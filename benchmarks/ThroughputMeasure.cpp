// Measures throughput and latency of one entry instance under closed-loop load on the loopback interface.
#include "Cluster.h"
#include "Measures.h"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace marigoldlink::benchmarks {

namespace {

    using testing::Cluster;
    using testing::ClusterOptions;

    constexpr Duration s_measureTime { 5000 };
    constexpr Duration s_warmUp { 1500 };

    struct Sample {
        double requestsPerSecond { 0 };
        double cpuMicrosecondsPerRequest { 0 };
        double p50 { 0 };
        double p99 { 0 };
    };

    // Keeps a fixed number of requests in flight to the endpoint. After each response the next request follows after a
    // pause.
    class ClosedLoop {
    public:
        ClosedLoop(Cluster& cluster, Endpoint endpoint, HttpCall call, Duration pause)
            : m_cluster(cluster)
            , m_endpoint(std::move(endpoint))
            , m_call(std::move(call))
            , m_pause(pause)
        {
        }

        Sample run(int inFlight, const testing::Process* server)
        {
            for (int i = 0; i < inFlight; ++i)
                sendNext();
            m_cluster.runFor(s_warmUp);
            m_latencies.clear();
            const auto cpu = server ? server->cpuSeconds() : 0;
            const auto begin = std::chrono::steady_clock::now();
            m_cluster.runFor(s_measureTime);
            const auto seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
            auto latencies = m_latencies;
            Sample sample;
            const auto count = static_cast<double>(latencies.size());
            sample.requestsPerSecond = count / seconds;
            sample.cpuMicrosecondsPerRequest = server ? (server->cpuSeconds() - cpu) * 1e6 / count : 0;
            std::sort(latencies.begin(), latencies.end());
            sample.p50 = latencies[latencies.size() / 2];
            sample.p99 = latencies[latencies.size() * 99 / 100];
            m_isStopping = true;
            m_cluster.waitUntil("the last requests are answered", [this] { return m_open == 0; });
            return sample;
        }

    private:
        void sendNext()
        {
            ++m_open;
            const auto begin = std::chrono::steady_clock::now();
            m_cluster.client.send(m_endpoint, m_call, [this, begin](HttpResult result) {
                --m_open;
                if (result.isOk()) {
                    const auto time = std::chrono::steady_clock::now() - begin;
                    m_latencies.push_back(std::chrono::duration<double, std::milli>(time).count());
                }
                if (m_isStopping)
                    return;
                if (m_pause.count() == 0)
                    sendNext();
                else
                    m_cluster.loop.after(m_pause, [this] {
                        if (!m_isStopping)
                            sendNext();
                    });
            });
        }

        Cluster& m_cluster;
        Endpoint m_endpoint;
        HttpCall m_call;
        Duration m_pause;
        std::vector<double> m_latencies;
        int m_open { 0 };
        bool m_isStopping { false };
    };

    void print(const std::string& name, const Sample& sample)
    {
        std::cout << std::left << std::setw(34) << name << std::right << std::fixed << std::setprecision(0)
                  << std::setw(9) << sample.requestsPerSecond << std::setprecision(1) << std::setw(12)
                  << sample.cpuMicrosecondsPerRequest << std::setprecision(3) << std::setw(10) << sample.p50
                  << std::setw(10) << sample.p99 << '\n';
    }

} // namespace

void measureThroughput()
{
    ClusterOptions options;
    options.dataCenters = { "one" };
    options.workersPerDataCenter = 4;
    options.workersPerProcess = 2;
    options.slots = 64;
    options.fleetSpec = testing::defaultFleetSpec(options.dataCenters, 1000);
    Cluster cluster(options);
    const auto& entry = cluster.entries.front();
    HttpCall call { "POST", "/v1/queues/open/tasks", "{\"work_ms\":0}", { { "x-idempotent", "true" } },
        Duration(5000) };
    HttpCall direct { "POST", "/echo", "{\"work_ms\":0}", {}, Duration(5000) };
    std::cout << "one entry instance, small idempotent requests, 4 worker stubs in 2 processes, one load process\n"
              << std::left << std::setw(34) << "path" << std::right << std::setw(9) << "req/s" << std::setw(12)
              << "cpu us/req" << std::setw(10) << "p50 ms" << std::setw(10) << "p99 ms" << '\n';
    print("to a worker directly, 1 in flight",
        ClosedLoop(cluster, cluster.workers[0].endpoints[0], direct, Duration(0)).run(1, nullptr));
    print("through the entry, 1 in flight",
        ClosedLoop(cluster, entry.endpoint, call, Duration(0)).run(1, &entry.process));
    print("through the entry, 64 in flight",
        ClosedLoop(cluster, entry.endpoint, call, Duration(0)).run(64, &entry.process));
    print("through the entry, 64 with pauses",
        ClosedLoop(cluster, entry.endpoint, call, Duration(48)).run(64, &entry.process));
}

} // namespace marigoldlink::benchmarks
