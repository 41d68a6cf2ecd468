// Measures how far teams deviate from their shares under two queue policies, with several entry instances that know
// each other's usage only from old digests.
#include "Measures.h"
#include "marigoldlink/Coordination/FairQueue.h"
#include "marigoldlink/Coordination/ShareCredit.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <iomanip>
#include <iostream>
#include <random>

namespace marigoldlink::benchmarks {

namespace {

    constexpr std::size_t s_entries = 6;
    constexpr std::size_t s_slotsPerEntry = 64;
    constexpr int s_stepMs = 20;
    constexpr int s_digestAgeSteps = 20;
    constexpr int s_windowSteps = 500;
    constexpr int s_steps = 15000;
    const std::vector<double> s_shares { 35, 25, 20, 10, 6, 4 };
    const std::vector<double> s_meanRunSteps { 3, 30, 10, 60, 8, 120 };

    TeamId team(std::size_t index) { return TeamId("team-" + std::to_string(index)); }
    std::size_t indexOf(const TeamId& id) { return static_cast<std::size_t>(id.value().back() - '0'); }

    struct Result {
        double worst { 0 };
        double mean { 0 };
    };

    template <typename Policy> struct Entry {
        FairQueue<Policy> queue { QueueLimits { 1000000, 1000000, 32 } };
        std::multimap<int, std::size_t> ends;
        std::vector<Slots> running = std::vector<Slots>(s_shares.size());
        ShareCredit credit { {} };
    };

    // Relative rate of a team's requests at an entry: equal at all entries, or skewed, with none at a third of them.
    double weight(std::size_t teamIndex, std::size_t entry, bool isSkewed)
    {
        if (!isSkewed)
            return 1;
        return (teamIndex + entry) % 3 == 0 ? 0 : 1.5;
    }

    // What an entry adds to its own usage of a team when it picks the next task.
    enum class Correction { None, PeersUsage, OwnCredit, FleetCredit };

    template <typename Policy> Result run(bool isSkewed, Correction correction, Duration gain = Duration(1000))
    {
        std::mt19937_64 random(20261204);
        std::vector<Entry<Policy>> entries(s_entries);
        for (auto& entry : entries)
            entry.credit = ShareCredit({ Duration(20000), gain, 64 });
        std::deque<std::vector<std::vector<Slots>>> history;
        std::vector<double> window(s_shares.size());
        std::vector<TeamId> owners;
        Result result;
        std::size_t samples = 0;
        for (int step = 0; step < s_steps; ++step) {
            std::vector<std::vector<Slots>> now;
            for (auto& entry : entries)
                now.push_back(entry.running);
            history.push_back(now);
            if (history.size() > s_digestAgeSteps)
                history.pop_front();
            for (std::size_t e = 0; e < s_entries; ++e) {
                auto& entry = entries[e];
                for (; !entry.ends.empty() && entry.ends.begin()->first <= step; entry.ends.erase(entry.ends.begin()))
                    --entry.running[entry.ends.begin()->second];
                for (std::size_t t = 0; t < s_shares.size(); ++t) {
                    // Bursts have five times the normal rate. Every team wants more than it gets at every entry that it
                    // uses.
                    const bool isBurst = (step / 250 + static_cast<int>(t)) % 5 == 0;
                    const auto rate = (isBurst ? 5.0 : 1.0) * 60 / s_meanRunSteps[t] * weight(t, e, isSkewed);
                    auto arrivals = std::poisson_distribution<int>(rate)(random);
                    for (; arrivals > 0 && entry.queue.size(team(t)) < 400; --arrivals) {
                        entry.queue.push(QueueTicket(owners.size()), team(t), Urgency::Normal);
                        owners.push_back(team(t));
                    }
                }
                const auto usageOf = [&](std::size_t t, bool isFleet) {
                    auto usage = static_cast<double>(entry.running[t]);
                    for (std::size_t other = 0; isFleet && other < s_entries; ++other)
                        usage += other == e ? 0 : static_cast<double>(history.front()[other][t]);
                    return usage;
                };
                const bool isFleet = correction == Correction::FleetCredit;
                std::vector<TeamUsage> usages;
                for (std::size_t t = 0; t < s_shares.size(); ++t) {
                    const auto part = isFleet ? static_cast<double>(s_entries) : 1;
                    usages.push_back({ team(t), s_shares[t], usageOf(t, isFleet) / part, true });
                }
                if (isFleet || correction == Correction::OwnCredit)
                    entry.credit.account(TimePoint(Duration(step * s_stepMs)), usages);
                while (entry.ends.size() < s_slotsPerEntry) {
                    const auto ticket = entry.queue.pop([&](const TeamId& id) {
                        const auto t = indexOf(id);
                        const auto usage
                            = usageOf(t, correction == Correction::PeersUsage) + entry.credit.correction(id);
                        return std::optional(Candidate { id, s_shares[t], usage });
                    });
                    if (!ticket)
                        break;
                    const auto t = indexOf(owners[static_cast<std::size_t>(*ticket)]);
                    const auto time = 1 + std::exponential_distribution<double>(1 / s_meanRunSteps[t])(random);
                    entry.ends.emplace(step + static_cast<int>(time), t);
                    ++entry.running[t];
                }
                for (std::size_t t = 0; t < s_shares.size(); ++t)
                    window[t] += static_cast<double>(entry.running[t]);
            }
            if ((step + 1) % s_windowSteps != 0)
                continue;
            for (std::size_t t = 0; t < s_shares.size() && step > s_windowSteps; ++t) {
                const auto part = window[t] / (s_entries * s_slotsPerEntry * s_windowSteps);
                const auto deviation = std::abs(part - s_shares[t] / 100) / (s_shares[t] / 100);
                result.worst = std::max(result.worst, deviation);
                result.mean += deviation;
                ++samples;
            }
            std::fill(window.begin(), window.end(), 0);
        }
        result.mean /= static_cast<double>(samples);
        return result;
    }

    void print(const char* name, const Result& even, const Result& skewed)
    {
        std::cout << std::left << std::setw(44) << name << std::right << std::setw(9) << 100 * even.mean << std::setw(9)
                  << 100 * even.worst << std::setw(11) << 100 * skewed.mean << std::setw(9) << 100 * skewed.worst
                  << '\n';
    }

} // namespace

void measureShares()
{
    std::cout << "six teams with shares 35 25 20 10 6 4, run times from 60 ms to 2.4 s, five-times bursts, 6 entries,\n"
              << "digests 400 ms old; relative deviation from the share in % over windows of 10 s\n"
              << std::fixed << std::setprecision(1) << std::left << std::setw(44) << "policy" << std::right
              << std::setw(9) << "mean" << std::setw(9) << "worst" << std::setw(11) << "skew mean" << std::setw(9)
              << "worst" << '\n';
    const auto row = [](const char* name, Correction correction, Duration gain = Duration(1000)) {
        print(name, run<LeastUsagePolicy>(false, correction, gain), run<LeastUsagePolicy>(true, correction, gain));
    };
    print("deficit round robin over own starts", run<DeficitRoundRobinPolicy>(false, Correction::None),
        run<DeficitRoundRobinPolicy>(true, Correction::None));
    row("least usage, own slots", Correction::None);
    row("least usage, slots of the whole fleet", Correction::PeersUsage);
    row("least usage and credit of own slots", Correction::OwnCredit);
    for (const int gain : { 250, 500, 1000, 2000, 4000 }) {
        const auto name = "least usage and fleet credit, gain " + std::to_string(gain) + " ms";
        row(name.c_str(), Correction::FleetCredit, Duration(gain));
    }
}

} // namespace marigoldlink::benchmarks
