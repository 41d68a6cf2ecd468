// Three ways to keep an upper limit, while the demand moves from one data centre to the next.
#include "Measures.h"
#include "marigoldlink/Coordination/Escrow.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <vector>

namespace marigoldlink::benchmarks {

namespace {

    const TeamId s_team("team");
    constexpr Slots s_limit = 120;
    constexpr std::size_t s_holders = 6;
    constexpr int s_steps = 6000;
    constexpr int s_stepMs = 20;
    constexpr int s_cycleSteps = 5; // between two writes of one holder
    constexpr int s_digestSteps = 20; // age of what holders know of each other
    constexpr double s_endChance = 0.1; // part of the running tasks that ends in a step

    struct Result {
        double usedShare { 0 };
        double writesPerSecond { 0 };
    };

    // Wanted tasks of a holder: one data centre asks for more than the limit, the others for little.
    Slots demandOf(std::size_t holder, int step, int phaseSteps)
    {
        const auto busy = static_cast<std::size_t>(step / phaseSteps) % (s_holders / 2);
        return holder / 2 == busy ? 80 : 4;
    }

    Slots wantedInAll(int step, int phaseSteps)
    {
        Slots sum = 0;
        for (std::size_t i = 0; i < s_holders; ++i)
            sum += demandOf(i, step, phaseSteps);
        return std::min(sum, s_limit);
    }

    Result fixedSplit(int phaseSteps)
    {
        double used = 0;
        double wanted = 0;
        for (int step = 0; step < s_steps; ++step) {
            wanted += static_cast<double>(wantedInAll(step, phaseSteps));
            for (std::size_t i = 0; i < s_holders; ++i)
                used += static_cast<double>(
                    std::min(demandOf(i, step, phaseSteps), s_limit / static_cast<Slots>(s_holders)));
        }
        return { used / wanted, 0 };
    }

    // One holder grants each start. While its data centre is cut off, a tenth of the time here, nobody starts anything.
    Result oneOwner(int phaseSteps)
    {
        double used = 0;
        double wanted = 0;
        double starts = 0;
        for (int step = 0; step < s_steps; ++step) {
            const auto all = static_cast<double>(wantedInAll(step, phaseSteps));
            wanted += all;
            used += step % 10 == 0 ? 0 : all;
            starts += all * s_endChance;
        }
        return { used / wanted, starts / (s_steps * s_stepMs / 1000.0) };
    }

    Result escrow(int phaseSteps, bool hasReserve)
    {
        std::vector<EscrowHolder> holders;
        for (std::size_t i = 0; i < s_holders; ++i)
            holders.emplace_back(HolderId(i + 1));
        std::optional<EscrowRecord> record;
        std::vector<std::vector<bool>> shortHistory;
        std::vector<Slots> running(s_holders);
        double used = 0;
        double wanted = 0;
        double writes = 0;
        for (int step = 0; step < s_steps; ++step) {
            wanted += static_cast<double>(wantedInAll(step, phaseSteps));
            std::vector<bool> isShort(s_holders);
            for (std::size_t i = 0; i < s_holders; ++i) {
                auto& holder = holders[i];
                const auto demand = demandOf(i, step, phaseSteps);
                auto ends = std::max<Slots>(
                    running[i] - demand, static_cast<Slots>(static_cast<double>(running[i]) * s_endChance));
                for (; ends > 0; --ends, --running[i])
                    holder.finish(s_team);
                while (running[i] < demand && holder.tryStart(s_team))
                    ++running[i];
                isShort[i] = running[i] < demand;
                used += static_cast<double>(running[i]);
                if ((step + static_cast<int>(i)) % s_cycleSteps != 0)
                    continue;
                EscrowDemand wish;
                wish.running = running[i];
                wish.queued = demand - running[i];
                wish.upperLimit = s_limit;
                wish.members = s_holders;
                wish.baseline = hasReserve ? baselineAmount(s_limit, s_holders, 3, true) : 0;
                if (step >= s_digestSteps) {
                    const auto& known = shortHistory[static_cast<std::size_t>(step - s_digestSteps)];
                    for (std::size_t other = 0; other < s_holders; ++other)
                        wish.isWantedElsewhere |= other != i && known[other];
                }
                if (!isWorthWriting(holder.held(s_team), wish))
                    continue;
                const auto proposal
                    = holder.propose(s_team, record, { s_limit, 1 }, wantedAmount(wish), [](HolderId) { return true; });
                if (!proposal)
                    continue;
                holder.writeBegins(s_team, *proposal);
                record = proposal;
                holder.writeEnds(s_team, *proposal, true);
                ++writes;
            }
            shortHistory.push_back(isShort);
        }
        return { used / wanted, writes / (s_steps * s_stepMs / 1000.0) };
    }

    void print(const char* name, const Result& result)
    {
        std::cout << "  " << std::left << std::setw(44) << name << std::right << std::setw(8) << 100 * result.usedShare
                  << std::setw(16) << result.writesPerSecond << '\n';
    }

} // namespace

void measureEscrow()
{
    std::cout << std::fixed << std::setprecision(1);
    for (const int seconds : { 2, 10, 60 }) {
        const auto phase = seconds * 1000 / s_stepMs;
        std::cout << "limit " << s_limit << ", 6 entries in 3 data centres, the demand moves every " << seconds
                  << " s\n  " << std::left << std::setw(44) << "way" << std::right << std::setw(8) << "used %"
                  << std::setw(16) << "calls/s\n";
        print("fixed split", fixedSplit(phase));
        print("one owner (cut off a tenth of the time)", oneOwner(phase));
        print("escrow", escrow(phase, false));
        print("escrow with a baseline for cut-off times", escrow(phase, true));
    }
}

} // namespace marigoldlink::benchmarks
