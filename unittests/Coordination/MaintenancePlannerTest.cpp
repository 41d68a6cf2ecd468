// Maintenance waves with rejected and unanswered calls.
#include "marigoldlink/Coordination/MaintenancePlanner.h"
#include "Choices.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldlink::testing {

namespace {

    const WaveId s_wave("1");

    struct Fleet {
        std::map<std::string, FleetInstance> instances;
        std::map<std::string, TimePoint> downUntil;
        std::map<WaveId, std::set<std::string>> begun;

        explicit Fleet(int count)
        {
            for (int i = 0; i < count; ++i) {
                FleetInstance instance;
                instance.id = "i" + std::to_string(i);
                instances.emplace(instance.id, instance);
            }
        }

        void begin(const WaveId& wave, const std::string& id, TimePoint now)
        {
            if (!begun[wave].insert(id).second)
                return;
            downUntil[id] = now + Duration(2000);
        }

        int countDown(TimePoint now) const
        {
            return static_cast<int>(std::count_if(
                downUntil.begin(), downUntil.end(), [now](const auto& entry) { return entry.second > now; }));
        }

        // Updates the instance list, which lags by 100 ms.
        void updateList(TimePoint now)
        {
            for (auto& [id, instance] : instances) {
                const auto until = downUntil.find(id);
                const bool isDown = until != downUntil.end() && until->second > now - Duration(100);
                instance.state = isDown ? InstanceState::Maintenance : InstanceState::Up;
            }
        }
    };

    // Sends the calls that are planned now. Each is carried out or not, and answered or not, as the choices say.
    void sendPlannedCalls(MaintenancePlanner& plan, Fleet& fleet, Choices& choices, TimePoint now)
    {
        fleet.updateList(now);
        auto listed = fleet.instances;
        if (choices.below(8) == 7) // a list may leave out an instance
            listed.erase(std::next(listed.begin(), static_cast<std::ptrdiff_t>(choices.below(listed.size()))));
        if (!listed.empty())
            plan.instancesListed(listed, now);
        const auto steps = plan.plan(
            listed, [](const std::string&) { return InstanceLoad {}; }, now);
        for (const auto& step : steps) {
            plan.callSent(step.wave, step.instance, now);
            const auto outcome = choices.below(8);
            if (outcome == 7) {
                plan.callRejected(step.instance, now); // not carried out
            } else if (outcome == 6) {
                plan.callUnanswered(step.wave, step.instance, now); // the request is lost
            } else {
                fleet.begin(step.wave, step.instance, now);
                if (outcome == 5)
                    plan.callUnanswered(step.wave, step.instance, now); // carried out, but the answer is lost
                else
                    plan.callAccepted(step.wave, step.instance, now);
            }
        }
    }

    MaintenanceWave wave(int count, int maxConcurrent)
    {
        MaintenanceWave wave;
        wave.id = s_wave;
        wave.number = 1;
        wave.maxConcurrent = maxConcurrent;
        wave.timeLimit = Duration(30000);
        for (int i = 0; i < count; ++i)
            wave.instances.push_back("i" + std::to_string(i));
        return wave;
    }

} // namespace

RC_GTEST_PROP(MaintenancePlanner, NeverTakesMoreThanAllowedAndIsCompleteOnlyAtTheEnd, ())
{
    auto choices = Choices::generate(50);
    const int count = 1 + static_cast<int>(choices.below(20));
    const int maxAtOnce = 1 + static_cast<int>(choices.below(6));
    Fleet fleet(count);
    MaintenancePlanner plan({ Duration(2000), Duration(500) });
    TimePoint now { Duration(1000) };
    plan.setWaves({ { s_wave, wave(count, maxAtOnce) } });
    bool isComplete = false;
    for (int i = 0; i < 2000 && !isComplete; ++i) {
        now += Duration(50);
        sendPlannedCalls(plan, fleet, choices, now);
        RC_ASSERT(fleet.countDown(now) <= maxAtOnce);
        for (const auto& change : plan.takeChanges())
            isComplete |= change.isComplete;
        if (isComplete)
            RC_ASSERT(static_cast<int>(fleet.begun[s_wave].size()) == count);
    }
    RC_ASSERT(isComplete);
}

// Guards against LIMIT violations (RapidCheck seed 23770 of the property above): the repetition of a lost call took
// effect without an answer, and a rejection after it freed the slot while the instance was still down.
TEST(MaintenancePlanner, ARejectionDoesNotFreeTheSlotOfALaterUnansweredCall)
{
    Fleet fleet(2);
    MaintenancePlanner plan({ Duration(2000), Duration(500) });
    const auto load = [](const std::string&) { return InstanceLoad {}; };
    const TimePoint begin { Duration(1000) };
    plan.setWaves({ { s_wave, wave(2, 1) } });
    ASSERT_EQ(plan.plan(fleet.instances, load, begin).size(), 1u);
    plan.callSent(s_wave, "i0", begin);
    plan.callUnanswered(s_wave, "i0", begin);
    const auto repeatedAt = begin + Duration(1000);
    ASSERT_EQ(plan.plan(fleet.instances, load, repeatedAt).size(), 1u);
    plan.callSent(s_wave, "i0", repeatedAt);
    fleet.begin(s_wave, "i0", repeatedAt);
    plan.callUnanswered(s_wave, "i0", repeatedAt);
    const auto rejectedAt = begin + Duration(2500);
    ASSERT_EQ(plan.plan(fleet.instances, load, rejectedAt).size(), 1u);
    plan.callSent(s_wave, "i0", rejectedAt);
    plan.callRejected("i0", rejectedAt);
    EXPECT_TRUE(plan.isUnderMaintenance("i0"));
    for (const auto& step : plan.plan(fleet.instances, load, rejectedAt + Duration(100)))
        EXPECT_EQ(step.instance, "i0");
}

// Guards against MIXED violations (review/5): a call for one wave ticked its instance off in all waves.
RC_GTEST_PROP(MaintenancePlanner, EachOfTwoOverlappingWavesMaintainsAllItsInstances, ())
{
    auto choices = Choices::generate(50);
    const int count = 1 + static_cast<int>(choices.below(12));
    const WaveId second("2");
    std::map<WaveId, MaintenanceWave> waves { { s_wave, wave(count, 3) }, { second, wave(count, 3) } };
    waves[second].id = second;
    waves[second].number = 2;
    waves[second].instances.erase(waves[second].instances.begin());
    const auto secondFrom = static_cast<int>(choices.below(60));
    Fleet fleet(count);
    MaintenancePlanner plan({ Duration(2000), Duration(500) });
    plan.setWaves({ { s_wave, waves[s_wave] } });
    std::set<WaveId> complete;
    TimePoint now { Duration(1000) };
    for (int i = 0; i < 3000 && complete.size() < waves.size(); ++i) {
        now += Duration(50);
        if (i == secondFrom)
            plan.setWaves(waves);
        sendPlannedCalls(plan, fleet, choices, now);
        for (const auto& change : plan.takeChanges()) {
            if (!change.isComplete)
                continue;
            complete.insert(change.wave);
            const auto& due = waves.at(change.wave).instances;
            RC_ASSERT(fleet.begun[change.wave] == std::set<std::string>(due.begin(), due.end()));
        }
    }
    RC_ASSERT(complete.size() == waves.size());
}

// An instance whose call had no answer must not stay reserved for good when operators withdraw the wave of the call.
TEST(MaintenancePlanner, AnUnansweredCallOfAWithdrawnWaveDoesNotHoldUpAnotherWave)
{
    Fleet fleet(1);
    MaintenancePlanner plan({ Duration(2000), Duration(500) });
    const auto load = [](const std::string&) { return InstanceLoad {}; };
    const WaveId second("2");
    auto later = wave(1, 1);
    later.id = second;
    later.number = 2;
    TimePoint now { Duration(1000) };
    plan.setWaves({ { s_wave, wave(1, 1) } });
    ASSERT_EQ(plan.plan(fleet.instances, load, now).size(), 1u);
    plan.callSent(s_wave, "i0", now);
    plan.callUnanswered(s_wave, "i0", now);
    plan.setWaves({ { second, later } });
    now += Duration(1000);
    EXPECT_TRUE(plan.plan(fleet.instances, load, now).empty()) << "the call may have taken effect";
    now += Duration(2000);
    const auto steps = plan.plan(fleet.instances, load, now);
    ASSERT_EQ(steps.size(), 1u);
    EXPECT_EQ(steps[0].wave, second);
}

// A wave must not wait for ever for an instance that is gone, nor be complete as long as one that stays may be missing
// by chance.
TEST(MaintenancePlanner, AnInstanceThatListsLeaveOutForLongIsGone)
{
    for (const bool comesBackOnce : { false, true }) {
        Fleet fleet(2);
        MaintenancePlanner plan({ Duration(2000), Duration(500) });
        const auto load = [](const std::string&) { return InstanceLoad {}; };
        TimePoint now { Duration(1000) };
        plan.setWaves({ { s_wave, wave(2, 1) } });
        ASSERT_EQ(plan.plan(fleet.instances, load, now)[0].instance, "i0");
        plan.callSent(s_wave, "i0", now);
        plan.callAccepted(s_wave, "i0", now);
        auto without = fleet.instances;
        without.erase("i1");
        const auto missingFrom = now + Duration(500);
        const auto backAt = missingFrom + Duration(1500);
        std::optional<TimePoint> completeAt;
        while (!completeAt && now < missingFrom + Duration(10000)) {
            now += Duration(500);
            const auto& listed = comesBackOnce && now == backAt ? fleet.instances : without;
            plan.instancesListed(listed, now);
            for (const auto& step : plan.plan(listed, load, now))
                plan.callRejected(step.instance, now);
            for (const auto& change : plan.takeChanges()) {
                if (change.isComplete)
                    completeAt = now;
            }
        }
        ASSERT_TRUE(completeAt);
        EXPECT_EQ(*completeAt, (comesBackOnce ? backAt + Duration(500) : missingFrom) + Duration(2000));
    }
}

// The plan is made more often than lists are read: one list, however old, does not show that an instance is gone.
TEST(MaintenancePlanner, OneListDoesNotShowThatAnInstanceIsGone)
{
    Fleet fleet(2);
    MaintenancePlanner plan({ Duration(2000), Duration(500) });
    const auto load = [](const std::string&) { return InstanceLoad {}; };
    TimePoint now { Duration(1000) };
    auto only = wave(2, 1);
    only.instances = { "i1" };
    plan.setWaves({ { s_wave, only } });
    auto without = fleet.instances;
    without.erase("i1");
    plan.instancesListed(without, now);
    for (int i = 0; i < 100; ++i) {
        now += Duration(100);
        EXPECT_TRUE(plan.plan(without, load, now).empty());
        for (const auto& change : plan.takeChanges())
            EXPECT_FALSE(change.isComplete);
    }
    plan.instancesListed(fleet.instances, now);
    EXPECT_EQ(plan.plan(fleet.instances, load, now).size(), 1u);
}

// Guards against waves that are complete too early: readings of the list may fail for longer than an instance must be
// left out.
TEST(MaintenancePlanner, TwoListsFarApartDoNotShowThatAnInstanceIsGone)
{
    Fleet fleet(2);
    MaintenancePlanner plan({ Duration(2000), Duration(500) });
    const auto load = [](const std::string&) { return InstanceLoad {}; };
    TimePoint now { Duration(1000) };
    auto only = wave(2, 1);
    only.instances = { "i1" };
    plan.setWaves({ { s_wave, only } });
    auto without = fleet.instances;
    without.erase("i1");
    for (int i = 0; i < 2; ++i) {
        plan.instancesListed(without, now);
        EXPECT_TRUE(plan.plan(without, load, now).empty());
        for (const auto& change : plan.takeChanges())
            EXPECT_FALSE(change.isComplete);
        now += Duration(5000);
    }
    plan.instancesListed(fleet.instances, now);
    EXPECT_EQ(plan.plan(fleet.instances, load, now).size(), 1u);
}

// Guards against LIMIT violations: an instance in maintenance that lists leave out for seconds no longer counted as
// down.
TEST(MaintenancePlanner, AnAcceptedCallKeepsItsPlaceWhileListsLeaveTheInstanceOut)
{
    Fleet fleet(2);
    MaintenancePlanner plan({ Duration(8000), Duration(500) });
    const auto load = [](const std::string&) { return InstanceLoad {}; };
    TimePoint now { Duration(1000) };
    plan.setWaves({ { s_wave, wave(2, 1) } });
    const auto first = plan.plan(fleet.instances, load, now).at(0).instance;
    plan.callSent(s_wave, first, now);
    plan.callAccepted(s_wave, first, now);
    const auto sentAt = now;
    auto without = fleet.instances;
    without.erase(first);
    std::optional<TimePoint> nextAt;
    while (!nextAt && now < sentAt + Duration(20000)) {
        now += Duration(500);
        plan.instancesListed(without, now);
        if (!plan.plan(without, load, now).empty())
            nextAt = now;
    }
    ASSERT_TRUE(nextAt) << "the wave must go on once the maintenance has ended";
    EXPECT_GE(*nextAt, sentAt + Duration(8000));
}

// Guards against waves that stand still: an instance that its tasks could not leave kept the place of the others.
TEST(MaintenancePlanner, AnInstanceThatCannotDrainLeavesItsPlaceToAnother)
{
    MaintenancePlanner plan({});
    const TimePoint now { Duration(1000) };
    Fleet fleet(2);
    MaintenanceWave wave;
    wave.id = s_wave;
    wave.instances = { "i0", "i1" };
    wave.maxConcurrent = 1;
    plan.setWaves({ { s_wave, wave } });
    const auto loadOf = [](const std::string&) {
        InstanceLoad load;
        load.services = 1;
        load.mayStopServices = false;
        return load;
    };
    const auto none = [](const std::string&) { return false; };
    const auto onlySecond = [](const std::string& instance) { return instance == "i1"; };
    EXPECT_TRUE(plan.plan(fleet.instances, loadOf, now, none).empty());
    EXPECT_EQ(plan.reserved(), std::set<std::string> { "i0" }) << "the pool has to make up for it";
    EXPECT_TRUE(plan.draining().empty());
    EXPECT_TRUE(plan.plan(fleet.instances, loadOf, now, onlySecond).empty());
    EXPECT_EQ(plan.reserved(), std::set<std::string> { "i1" });
    EXPECT_EQ(plan.draining(), std::set<std::string> { "i1" });
}

TEST(MaintenancePlanner, WaitsForServicesThatCannotSpareATask)
{
    Fleet fleet(1);
    MaintenancePlanner plan({ Duration(2000), Duration(500) });
    TimePoint now { Duration(1000) };
    plan.setWaves({ { s_wave, wave(1, 1) } });
    bool canStop = false;
    for (int i = 0; i < 40; ++i) {
        now += Duration(100);
        EXPECT_TRUE(plan.plan(
                            fleet.instances,
                            [&](const std::string&) {
                                return InstanceLoad { 0, 1, canStop };
                            },
                            now)
                        .empty());
        EXPECT_TRUE(plan.reserved().contains("i0"));
    }
    canStop = true;
    EXPECT_EQ(plan.plan(
                      fleet.instances,
                      [&](const std::string&) {
                          return InstanceLoad { 0, 1, canStop };
                      },
                      now)
                  .size(),
        1u);
}

} // namespace marigoldlink::testing
