// Measures the cost of the control traffic of an entry instance, a keeper and the platform at several fleet sizes, and
// fits least-squares slopes.
#include "Cluster.h"
#include "Measures.h"

#include <iomanip>
#include <iostream>
#include <sstream>

namespace marigoldlink::benchmarks {

namespace {

    using testing::Cluster;
    using testing::ClusterOptions;
    using testing::Json;

    constexpr Duration s_settleTime { 2500 };
    constexpr Duration s_measureTime { 8000 };

    struct Cost {
        double cpuPercent { 0 };
        double kilobytesPerSecond { 0 };
        double residentMegabytes { 0 };
        double keeperCpuPercent { 0 };
        double keeperMegabytes { 0 };
        double platformReadsPerSecond { 0 };
        double platformWritesPerSecond { 0 };
    };

    std::uint64_t bytesOf(const Json& status)
    {
        return status.value("bytes_sent", std::uint64_t { 0 }) + status.value("bytes_received", std::uint64_t { 0 });
    }

    template <typename Function> Cost measure(Cluster& cluster, Function activity)
    {
        cluster.runFor(s_settleTime);
        const auto& entry = cluster.entries.front();
        const auto& keeper = cluster.keepers.front();
        const auto before = cluster.status(0);
        const auto platformBefore = cluster.get(cluster.platforms.back(), "/stats");
        const auto cpuBefore = entry.process.cpuSeconds();
        const auto keeperCpuBefore = keeper.cpuSeconds();
        const auto begin = cluster.loop.now();
        activity();
        cluster.runFor(begin + s_measureTime - cluster.loop.now());
        const auto seconds = static_cast<double>((cluster.loop.now() - begin).count()) / 1000;
        const auto platformAfter = cluster.get(cluster.platforms.back(), "/stats");
        Cost cost;
        cost.cpuPercent = 100 * (entry.process.cpuSeconds() - cpuBefore) / seconds;
        cost.keeperCpuPercent = 100 * (keeper.cpuSeconds() - keeperCpuBefore) / seconds;
        cost.kilobytesPerSecond = static_cast<double>(bytesOf(cluster.status(0)) - bytesOf(before)) / 1000 / seconds;
        cost.residentMegabytes = static_cast<double>(entry.process.residentKilobytes()) / 1024;
        cost.keeperMegabytes = static_cast<double>(keeper.residentKilobytes()) / 1024;
        cost.platformReadsPerSecond
            = (platformAfter.value("reads", 0.0) - platformBefore.value("reads", 0.0)) / seconds;
        cost.platformWritesPerSecond
            = (platformAfter.value("writes", 0.0) - platformBefore.value("writes", 0.0)) / seconds;
        return cost;
    }

    // Fits cost = base + slope * size by least squares, and prints the fit with its largest residual.
    class Series {
    public:
        explicit Series(std::string name)
            : m_name(std::move(name))
        {
            std::cout << "\n" << m_name << "\n" << std::setw(8) << "size";
            for (const auto* column : s_columns)
                std::cout << std::setw(15) << column;
            std::cout << '\n';
        }

        void add(double size, const Cost& cost)
        {
            m_sizes.push_back(size);
            m_values.push_back(
                { cost.cpuPercent, cost.kilobytesPerSecond, cost.residentMegabytes, cost.keeperCpuPercent,
                    cost.keeperMegabytes, cost.platformReadsPerSecond, cost.platformWritesPerSecond });
            std::cout << std::setw(8) << std::setprecision(2) << size;
            for (const auto value : m_values.back())
                std::cout << std::setw(15) << std::setprecision(3) << value;
            std::cout << std::endl;
        }

        void fit() const
        {
            std::vector<double> base;
            std::vector<double> slope;
            std::vector<double> residual;
            for (std::size_t column = 0; column < m_values.front().size(); ++column) {
                double n = 0;
                double sumX = 0;
                double sumY = 0;
                double sumXX = 0;
                double sumXY = 0;
                for (std::size_t i = 0; i < m_sizes.size(); ++i, ++n) {
                    sumX += m_sizes[i];
                    sumY += m_values[i][column];
                    sumXX += m_sizes[i] * m_sizes[i];
                    sumXY += m_sizes[i] * m_values[i][column];
                }
                slope.push_back((n * sumXY - sumX * sumY) / (n * sumXX - sumX * sumX));
                base.push_back((sumY - slope.back() * sumX) / n);
                residual.push_back(0);
                for (std::size_t i = 0; i < m_sizes.size(); ++i)
                    residual.back() = std::max(
                        residual.back(), std::abs(m_values[i][column] - base.back() - slope.back() * m_sizes[i]));
            }
            print("base", base);
            print("slope", slope);
            print("residual", residual);
        }

    private:
        static constexpr const char* s_columns[] { "entry cpu %", "entry kB/s", "entry MB", "keeper cpu %", "keeper MB",
            "reads/s", "writes/s" };

        static void print(const char* name, const std::vector<double>& values)
        {
            std::cout << std::setw(8) << name;
            for (const auto value : values)
                std::cout << std::setw(15) << std::setprecision(5) << value;
            std::cout << std::endl;
        }

        std::string m_name;
        std::vector<double> m_sizes;
        std::vector<std::vector<double>> m_values;
    };

    ClusterOptions singleDataCenterOptions(std::size_t entries, std::size_t workers)
    {
        ClusterOptions options;
        options.dataCenters = { "one" };
        options.entriesPerDataCenter = entries;
        options.workersPerDataCenter = workers;
        options.workersPerProcess = 64;
        options.slots = 8;
        options.entrySettings = "log_level = \"warning\"\n";
        options.keeperSettings = "log_level = \"warning\"\n";
        return options;
    }

    void workers()
    {
        Series series("workers in the data centre of one entry");
        for (const std::size_t size : { 16, 64, 128, 192 }) {
            Cluster cluster(singleDataCenterOptions(1, size));
            series.add(static_cast<double>(size), measure(cluster, [] {}));
        }
        series.fit();
    }

    void entriesInOneDataCenter()
    {
        Series series("entries in one data centre, 8 workers");
        for (const std::size_t size : { 1, 3, 6, 9 }) {
            Cluster cluster(singleDataCenterOptions(size, 8));
            series.add(static_cast<double>(size), measure(cluster, [] {}));
        }
        series.fit();
    }

    void entriesInOtherDataCenters()
    {
        Series series("entries in other data centres, 1 each, 2 workers each");
        for (const std::size_t size : { 2, 8, 16, 24 }) {
            auto options = singleDataCenterOptions(1, 2);
            for (std::size_t i = 1; i <= size; ++i)
                options.dataCenters.push_back("dc-" + std::to_string(i));
            Cluster cluster(options);
            series.add(static_cast<double>(size), measure(cluster, [] {}));
        }
        series.fit();
    }

    std::string fleetSpecWithTeams(std::size_t teams)
    {
        auto text = testing::defaultFleetSpec({ "one" });
        for (std::size_t i = 0; i < teams; ++i)
            text += "[[team]]\nname = \"team-" + std::to_string(i) + "\"\nshare = 1\nupper_limit = 100\n";
        return text;
    }

    void teams()
    {
        Series series("teams in the fleet specification, 3 entries, 8 workers");
        for (const std::size_t size : { 50, 200, 400, 800 }) {
            auto options = singleDataCenterOptions(3, 8);
            options.fleetSpec = fleetSpecWithTeams(size);
            Cluster cluster(options);
            cluster.waitUntil(
                "every team has its baseline", [&] { return cluster.status(0)["escrow"].size() >= size; },
                Duration(120000));
            series.add(static_cast<double>(size), measure(cluster, [] {}));
        }
        series.fit();
    }

    void changes()
    {
        Series series("key changes a second, 3 entries, 8 workers, 100 teams");
        for (const int size : { 0, 2, 5, 10 }) {
            auto options = singleDataCenterOptions(3, 8);
            options.fleetSpec = fleetSpecWithTeams(100);
            Cluster cluster(options);
            std::uint64_t version = 0;
            const auto change = [&] {
                if (size == 0)
                    return;
                for (int i = 0; i < size * 7; ++i) {
                    const auto key = "/kv/config/key/team-" + std::to_string(i % 100);
                    const auto current = cluster.get(cluster.platforms.back(), key).value("revision", 0);
                    const Json body { { "version", ++version }, { "write", "w" }, { "body", "[]" } };
                    cluster.call(cluster.platforms.back(),
                        { "PUT", key + "?expect=" + std::to_string(current), body.dump(), {}, Duration(1000) });
                    cluster.runFor(Duration(1000 / size));
                }
            };
            series.add(size, measure(cluster, change));
        }
        series.fit();
    }

} // namespace

void measureSlopes()
{
    std::cout << std::fixed
              << "8 s of control traffic without load from callers at each size; processor time in % of one core\n";
    workers();
    entriesInOneDataCenter();
    entriesInOtherDataCenters();
    teams();
    changes();
}

} // namespace marigoldlink::benchmarks
