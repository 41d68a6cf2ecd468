// Compares three methods to enforce a team's upper limit while the demand moves from one data centre to the next: a
// fixed split, a single owner, and escrow.
#include "Measures.h"
#include "marigoldlink/Coordination/Escrow.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <vector>

namespace marigoldlink::benchmarks {

namespace {

    const TeamId s_team("team");
    constexpr Slots s_upperLimit = 120;
    constexpr std::size_t s_holders = 6;
    constexpr int s_steps = 6000;
    constexpr int s_stepMs = 20;
    constexpr int s_writeIntervalSteps = 5; // for each holder
    constexpr int s_digestAgeSteps = 20; // of what holders know of each other
    constexpr double s_completionFraction = 0.1; // fraction of the running tasks that end in one step

    struct Result {
        double utilization { 0 };
        double writesPerSecond { 0 };
    };

    // Tasks that a holder wants to run. The two holders of one data centre together want more than the limit, the
    // others few.
    Slots demandOf(std::size_t holder, int step, int phaseSteps)
    {
        const auto busy = static_cast<std::size_t>(step / phaseSteps) % (s_holders / 2);
        return holder / 2 == busy ? 80 : 4;
    }

    Slots totalDemand(int step, int phaseSteps)
    {
        Slots sum = 0;
        for (std::size_t i = 0; i < s_holders; ++i)
            sum += demandOf(i, step, phaseSteps);
        return std::min(sum, s_upperLimit);
    }

    Result fixedSplit(int phaseSteps)
    {
        double usedSlots = 0;
        double wantedSlots = 0;
        for (int step = 0; step < s_steps; ++step) {
            wantedSlots += static_cast<double>(totalDemand(step, phaseSteps));
            for (std::size_t i = 0; i < s_holders; ++i)
                usedSlots += static_cast<double>(
                    std::min(demandOf(i, step, phaseSteps), s_upperLimit / static_cast<Slots>(s_holders)));
        }
        return { usedSlots / wantedSlots, 0 };
    }

    // A single holder grants each start. While its data centre is partitioned, here for a tenth of the time, no
    // task starts.
    Result singleOwner(int phaseSteps)
    {
        double usedSlots = 0;
        double wantedSlots = 0;
        double starts = 0;
        for (int step = 0; step < s_steps; ++step) {
            const auto total = static_cast<double>(totalDemand(step, phaseSteps));
            wantedSlots += total;
            usedSlots += step % 10 == 0 ? 0 : total;
            starts += total * s_completionFraction;
        }
        return { usedSlots / wantedSlots, starts / (s_steps * s_stepMs / 1000.0) };
    }

    Result escrow(int phaseSteps, bool hasReserve)
    {
        std::vector<EscrowHolder> holders;
        for (std::size_t i = 0; i < s_holders; ++i)
            holders.emplace_back(HolderId(i + 1));
        std::optional<EscrowRecord> record;
        std::vector<std::vector<bool>> shortageHistory;
        std::vector<Slots> running(s_holders);
        double usedSlots = 0;
        double wantedSlots = 0;
        double writes = 0;
        for (int step = 0; step < s_steps; ++step) {
            wantedSlots += static_cast<double>(totalDemand(step, phaseSteps));
            std::vector<bool> isShort(s_holders);
            for (std::size_t i = 0; i < s_holders; ++i) {
                auto& holder = holders[i];
                const auto demand = demandOf(i, step, phaseSteps);
                auto ends = std::max<Slots>(
                    running[i] - demand, static_cast<Slots>(static_cast<double>(running[i]) * s_completionFraction));
                for (; ends > 0; --ends, --running[i])
                    holder.finish(s_team);
                while (running[i] < demand && holder.tryStart(s_team))
                    ++running[i];
                isShort[i] = running[i] < demand;
                usedSlots += static_cast<double>(running[i]);
                if ((step + static_cast<int>(i)) % s_writeIntervalSteps != 0)
                    continue;
                EscrowDemand escrowDemand;
                escrowDemand.running = running[i];
                escrowDemand.queued = demand - running[i];
                escrowDemand.upperLimit = s_upperLimit;
                escrowDemand.members = s_holders;
                escrowDemand.baseline = hasReserve ? baselineAmount(s_upperLimit, s_holders, 3, true) : 0;
                if (step >= s_digestAgeSteps) {
                    const auto& knownShortage = shortageHistory[static_cast<std::size_t>(step - s_digestAgeSteps)];
                    for (std::size_t other = 0; other < s_holders; ++other)
                        escrowDemand.hasRemoteDemand |= other != i && knownShortage[other];
                }
                if (!shouldWriteEscrow(holder.held(s_team), escrowDemand))
                    continue;
                const auto proposal = holder.propose(
                    s_team, record, { s_upperLimit, 1 }, targetAmount(escrowDemand), [](HolderId) { return true; });
                if (!proposal)
                    continue;
                holder.beginWrite(s_team, *proposal);
                record = proposal;
                holder.endWrite(s_team, *proposal, true);
                ++writes;
            }
            shortageHistory.push_back(isShort);
        }
        return { usedSlots / wantedSlots, writes / (s_steps * s_stepMs / 1000.0) };
    }

    void print(const char* name, const Result& result)
    {
        std::cout << "  " << std::left << std::setw(44) << name << std::right << std::setw(8)
                  << 100 * result.utilization << std::setw(16) << result.writesPerSecond << '\n';
    }

} // namespace

void measureEscrow()
{
    std::cout << std::fixed << std::setprecision(1);
    for (const int seconds : { 2, 10, 60 }) {
        const auto phase = seconds * 1000 / s_stepMs;
        std::cout << "limit " << s_upperLimit << ", 6 entries in 3 data centres, the demand moves every " << seconds
                  << " s\n  " << std::left << std::setw(44) << "method" << std::right << std::setw(8) << "used %"
                  << std::setw(16) << "calls/s\n";
        print("fixed split", fixedSplit(phase));
        print("one owner (partitioned a tenth of the time)", singleOwner(phase));
        print("escrow", escrow(phase, false));
        print("escrow with a baseline for partitions", escrow(phase, true));
    }
}

} // namespace marigoldlink::benchmarks
