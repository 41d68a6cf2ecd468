// Measures the keeper's planner on fleets of several sizes: time of a planning cycle, number of cycles and moves, and
// size of the buffer.
#include "Measures.h"
#include "marigoldlink/Coordination/FleetPlanner.h"

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <iostream>

namespace marigoldlink::benchmarks {

namespace {

    constexpr std::size_t s_rackSize = 4;
    constexpr int s_maxRounds = 5000;

    struct Shape {
        const char* name;
        std::size_t instances;
        std::size_t pools; // without the spare pool
        std::size_t dataCenters;
        Slots slots;
        double spareFraction; // fraction of the instances that the need does not take
    };

    struct Fleet {
        FleetSpec spec;
        FleetView view;

        explicit Fleet(const Shape& shape)
        {
            view.spec = &spec;
            const auto needed
                = static_cast<double>(shape.instances) * (1 - shape.spareFraction) / static_cast<double>(shape.pools);
            for (std::size_t i = 0; i <= shape.pools; ++i) {
                Pool pool;
                pool.id = PoolId("pool-" + std::to_string(i));
                pool.isSpare = i == shape.pools;
                spec.pools[pool.id] = pool;
                if (pool.isSpare)
                    continue;
                Service service;
                service.id = ServiceId(pool.id.value());
                service.pool = pool.id;
                service.peakSlots = static_cast<Slots>(needed) * shape.slots;
                spec.services[service.id] = service;
            }
            for (std::size_t i = 0; i < shape.instances; ++i) {
                ListedInstance info;
                info.id = InstanceId("instance-" + std::to_string(i));
                const auto dataCenter = i % shape.dataCenters;
                info.dataCenter = DataCenterId("dc-" + std::to_string(dataCenter));
                info.rack = RackId(info.dataCenter.value() + "-" + std::to_string(i / shape.dataCenters / s_rackSize));
                info.slots = shape.slots;
                view.listed[info.id] = info;
            }
        }

        void finishDrainsAndReboots()
        {
            view.drained.clear();
            view.healthy.clear();
            for (const auto& [id, record] : view.records) {
                if (record.phase == InstancePhase::Draining)
                    view.drained.insert(id);
                if (record.phase == InstancePhase::Rebooting)
                    view.healthy.insert(id);
            }
        }
    };

    struct Run {
        int rounds { 0 };
        std::size_t moves { 0 };
        double maxRoundMs { 0 };
        double totalMs { 0 };
        bool hadShortage { false };
    };

    Run runUntilStable(Fleet& fleet)
    {
        const FleetPlanner planner { {} };
        Run run;
        while (run.rounds < s_maxRounds) {
            const auto begin = std::chrono::steady_clock::now();
            const auto changes = planner.plan(fleet.view);
            const auto ms = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count();
            run.maxRoundMs = std::max(run.maxRoundMs, ms);
            run.totalMs += ms;
            if (changes.empty())
                break;
            ++run.rounds;
            for (const auto& change : changes) {
                fleet.view.records[change.next.id] = change.next;
                run.moves += change.reason == ChangeReason::Deficit || change.reason == ChangeReason::Surplus;
            }
            fleet.finishDrainsAndReboots();
            for (const auto& state : FleetPlanner::poolStates(fleet.view))
                run.hadShortage |= state.isBelowNeed();
        }
        return run;
    }

    // Prints the buffer that results from three methods to size it, in percent of the need, and the number of instances
    // in the fullest rack of any pool.
    void printBuffers(const Shape& shape, const Fleet& fleet)
    {
        Slots needed = 0;
        Slots rackBuffer = 0;
        Slots worstRack = 0;
        for (const auto& state : FleetPlanner::poolStates(fleet.view)) {
            if (state.needed == 0)
                continue;
            needed += state.needed;
            rackBuffer += state.buffer;
            worstRack = std::max(worstRack, state.buffer);
        }
        const auto pools = static_cast<Slots>(shape.pools);
        const auto percent
            = [needed](Slots slots) { return 100.0 * static_cast<double>(slots) / static_cast<double>(needed); };
        const auto fixed = needed / 5;
        std::cout << "  buffer in % of need: largest rack of each pool " << percent(rackBuffer)
                  << ", a fifth of the need " << percent(fixed) << ", one spare instance a pool "
                  << percent(pools * shape.slots) << "; instances of one pool in its fullest rack "
                  << worstRack / shape.slots << '\n';
    }

} // namespace

void measurePlanner()
{
    const Shape shapes[] { { "Celazime", 48, 4, 3, 8, 0.25 }, { "Flammwacht", 52, 4, 4, 8, 0.25 },
        { "a third of the target", 1100, 27, 22, 8, 0.12 }, { "two thirds", 2200, 27, 22, 8, 0.12 },
        { "target", 3300, 27, 22, 8, 0.12 } };
    std::cout << std::fixed << std::setprecision(2);
    for (const auto& shape : shapes) {
        Fleet fleet(shape);
        const auto first = runUntilStable(fleet);
        std::cout << shape.name << ": " << shape.instances << " instances, " << shape.pools << " pools\n"
                  << "  first placement: " << first.rounds << " rounds, " << first.moves << " moves, worst round "
                  << first.maxRoundMs << " ms\n";
        printBuffers(shape, fleet);
        fleet.view.round = 1;
        const auto wave = runUntilStable(fleet);
        std::size_t maintained = 0;
        for (const auto& [id, record] : fleet.view.records)
            maintained += record.maintainedRound == 1;
        std::cout << "  maintenance: " << maintained << " of " << shape.instances << " in " << wave.rounds
                  << " rounds, " << wave.moves << " moves, worst round " << wave.maxRoundMs << " ms, mean "
                  << wave.totalMs / wave.rounds << " ms, pool short: " << (wave.hadShortage ? "yes" : "no") << '\n';
    }
}

} // namespace marigoldlink::benchmarks
