// The review's scripts: standin-2 CASE FOLDER. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
#include "standin.h"

#include <algorithm>
#include <filesystem>

namespace review {

namespace {

    bool isTrouble()
    {
        const char* value = std::getenv("TROUBLE");
        return !value || std::string(value) != "0";
    }

    int cannotRun(const char* reason)
    {
        record.line("could not run: %s", reason);
        std::printf("could not run: %s\n", reason);
        return 2;
    }

    int verdict(bool isBroken, const std::string& text)
    {
        record.line("verdict: %s: %s", isBroken ? "broken" : "held", text.c_str());
        std::printf("%s: %s\n", isBroken ? "broken" : "held", text.c_str());
        return isBroken ? 1 : 0;
    }

    std::string jobId(int number)
    {
        char text[17];
        std::snprintf(text, sizeof(text), "5c0e7a21d94b%04x", number);
        return text;
    }

    std::string jobBody(const Json& steps) { return Json { { "spec", "(text)" }, { "steps", steps } }.dump(); }

    WorkerSpec workerSpec(int number, const std::string& service, const std::string& kind)
    {
        const auto text = std::to_string(number);
        return { "w-" + text, service, "z" + std::to_string(number % 3 + 1), "m-" + text, kind, "r" + text };
    }

    // Ends the processes when a case returns. The stand-ins are kept, as their threads run on.
    struct Deployment {
        Deployment(const std::string& folder, std::size_t nodes)
            : world(*new World(folder, nodes))
        {
        }
        ~Deployment()
        {
            for (auto& node : world.nodes)
                node->kill();
        }
        Deployment(const Deployment&) = delete;
        Deployment& operator=(const Deployment&) = delete;

        World& world;
    };

    // All starts that the workers have carried out.
    std::vector<Run> allRuns(World& world)
    {
        std::vector<Run> runs;
        for (auto& worker : world.workers) {
            const auto more = worker->runs();
            runs.insert(runs.end(), more.begin(), more.end());
        }
        return runs;
    }

    // TWICE. A worker restarts under its id. An order to list its runs, sent before the restart, is carried out late on
    // the new incarnation and acknowledges ends that nobody has read.
    int lateAcknowledgement(const std::string& folder)
    {
        constexpr std::int64_t leastDelayMs = 2000; // of an order that is carried out late
        const bool hasTrouble = isTrouble();
        const Deployment deployment(folder, 3);
        auto& world = deployment.world;
        enum Phase { Calm, BeforeCrash, Crashed, BeforeJob, Job };
        std::atomic<int> phase { Calm };
        std::atomic<std::int64_t> heldAt { 0 };
        const auto behaviourOf = [](const std::string&) { return Behaviour { 500 }; };
        // Two of the orders to the worker get no answer and are carried out late.
        const auto fateOf = [&](Worker&, const Message& request, const Json& body) -> std::int64_t {
            if (request.path != "/-/hold" || !body.value("wait_ms", 0))
                return 0;
            int expected = BeforeCrash;
            if (phase.compare_exchange_strong(expected, Crashed)) {
                heldAt = steadyMs();
                return Worker::untilReleased;
            }
            expected = BeforeJob;
            return phase.compare_exchange_strong(expected, Job) ? leastDelayMs : 0;
        };
        auto& worker = world.addWorker(workerSpec(0, "press", "a"), behaviourOf, fateOf);
        for (int i = 1; i < 4; ++i)
            world.addWorker(workerSpec(i, "press", "b"), behaviourOf);
        world.configure(1, Json::array({ World::route("q", "press") }), { "press" });
        world.start();
        if (!world.awaitReady())
            return cannotRun("processes are not ready");
        const auto body = [](int tasks) {
            return jobBody(Json::array({ { { "count", tasks }, { "cpu", 1000 }, { "mem_mb", 100 }, { "est_ms", 500 },
                { "requires", "a" } } }));
        };
        // Earlier work, so that the number in `acked` has grown.
        if (!world.submit(0, "/q/" + jobId(1), body(20)) || !world.awaitState(0, "/q/" + jobId(1), "complete", 8000))
            return cannotRun("the first job has not completed");
        if (!waitFor(5000, [&] { return worker.acked() >= 20; }))
            return cannotRun("ends are not taken note of");
        if (hasTrouble) {
            phase = BeforeCrash;
            if (!waitFor(5000, [&] { return phase == Crashed; }))
                return cannotRun("no poll was sent");
            sleepMs(200);
            worker.crash();
            sleepMs(1000);
            worker.restart();
            sleepMs(500);
            phase = BeforeJob;
            if (!waitFor(5000, [&] { return phase == Job; }))
                return cannotRun("no poll was sent to the new incarnation");
        }
        const std::int64_t submittedAt = record.now();
        if (!world.submit(0, "/q/" + jobId(2), body(10)))
            return cannotRun("the second job was not accepted");
        if (hasTrouble) {
            if (!waitFor(2000, [&] { return worker.unnotedEnds() == 10; }))
                return cannotRun("the tasks have not ended");
            const auto delay = steadyMs() - heldAt;
            if (delay < leastDelayMs)
                sleepMs(leastDelayMs - delay);
            worker.releaseHeld();
        }
        if (!world.awaitState(0, "/q/" + jobId(2), "complete", 20000))
            return cannotRun("the second job has not completed");
        record.line(
            "the second job is shown as complete after %lld ms", static_cast<long long>(record.now() - submittedAt));
        sleepMs(2000);
        // A start after a run has ended `done`, if that end is taken note of then or later, unless the worker's lease
        // lapsed between the two.
        int repeated = 0;
        const auto runs = allRuns(world);
        for (const auto& earlier : runs) {
            if (earlier.how != "done" || earlier.notedAt < 0 || earlier.isLapsedBetween)
                continue;
            for (const auto& later : runs) {
                if (later.task != earlier.task || later.startedAt <= earlier.endedAt)
                    continue;
                ++repeated;
                record.line(
                    "TWICE: %s run %lld ended done on %s at %lld and was taken note of at %lld; run %lld started on "
                    "%s at %lld",
                    earlier.task.c_str(), static_cast<long long>(earlier.number), earlier.worker.c_str(),
                    static_cast<long long>(earlier.endedAt), static_cast<long long>(earlier.notedAt),
                    static_cast<long long>(later.number), later.worker.c_str(),
                    static_cast<long long>(later.startedAt));
            }
        }
        return verdict(repeated > 0, std::to_string(repeated) + " starts of tasks that had ended done");
    }

    // LOST. The configuration drops a route while the store turns one machine away, which goes on to accept jobs for
    // it.
    int removedRoute(const std::string& folder)
    {
        const bool hasTrouble = isTrouble();
        const Deployment deployment(folder, 3);
        auto& world = deployment.world;
        const auto behaviourOf = [](const std::string&) { return Behaviour { 400 }; };
        for (int i = 0; i < 4; ++i)
            world.addWorker(workerSpec(i, "press", "a"), behaviourOf);
        const auto both = Json::array({ World::route("q", "press"), World::route("nightly", "press") });
        const auto one = Json::array({ World::route("q", "press") });
        world.configure(1, both, { "press" });
        world.start();
        if (!world.awaitReady())
            return cannotRun("processes are not ready");
        const auto body
            = jobBody(Json::array({ { { "count", 2 }, { "cpu", 1000 }, { "mem_mb", 100 }, { "est_ms", 400 } } }));
        if (!world.submit(0, "/q/" + jobId(1), body) || !world.awaitState(0, "/q/" + jobId(1), "complete", 8000))
            return cannotRun("the first job has not completed");
        const int coordinator = world.coordinator();
        if (coordinator < 0)
            return cannotRun("no coordinator");
        const auto turnedAway = static_cast<std::size_t>(coordinator + 1) % world.nodes.size();
        if (hasTrouble)
            world.store.setBusy(turnedAway, true);
        sleepMs(300);
        world.configure(2, one, { "press" });
        sleepMs(7000);
        // The client sends its job to the machine that has not heard of the change.
        const auto answer = world.request(turnedAway, "POST", "/nightly/" + jobId(2), body);
        sleepMs(1200);
        world.store.setBusy(turnedAway, false);
        const bool isAccepted = answer.status / 100 == 2;
        // The job's turn has come and all workers are idle.
        sleepMs(20000);
        std::size_t starts = 0;
        for (const auto& run : allRuns(world))
            starts += run.task.starts_with(jobId(2) + ".");
        // Another job runs at once.
        const bool hasCapacity
            = world.submit(0, "/q/" + jobId(3), body) && world.awaitState(0, "/q/" + jobId(3), "complete", 8000);
        if (!hasCapacity)
            return cannotRun("another job has not completed");
        return verdict(isAccepted && !starts,
            "the job was answered with " + std::to_string(answer.status) + "; " + std::to_string(starts)
                + " of its tasks were started within 21 s");
    }

    // LOST. The progress of one large job exceeds the store's limit of a value, so nothing is stored any more. After
    // the next planned restart of the coordinator no accepted job goes on.
    int largeJob(const std::string& folder)
    {
        constexpr std::int64_t ackMs = 4000;
        constexpr std::int64_t firstStepMs = 24000;
        constexpr std::int64_t turnMs = 12000; // the rule allows 3 s
        const bool hasTrouble = isTrouble();
        const std::size_t tasks = hasTrouble ? 60000 : 600;
        const Deployment deployment(folder, 3);
        auto& world = deployment.world;
        const auto behaviourOf = [](const std::string& task) {
            if (task.starts_with(jobId(2) + "."))
                return Behaviour { 1000 };
            const bool isShort = task.starts_with(jobId(1) + ".") || task.find(".0.1.") != std::string::npos;
            return Behaviour { isShort ? 400 : firstStepMs };
        };
        for (int i = 0; i < 12; ++i)
            world.addWorker(workerSpec(i, "press", "a"), behaviourOf, {}, jobId(2));
        world.configure(1, Json::array({ World::route("q", "press") }), { "press" });
        world.start();
        if (!world.awaitReady())
            return cannotRun("processes are not ready");
        const Json step { { "count", 2 }, { "cpu", 1000 }, { "mem_mb", 100 }, { "est_ms", 400 } };
        auto second = step;
        second["after"] = { 0 };
        const auto small = jobBody(Json::array({ step, second }));
        if (!world.submit(0, "/q/" + jobId(1), small) || !world.awaitState(0, "/q/" + jobId(1), "complete", 8000))
            return cannotRun("the first job has not completed");
        // Jobs 3 to 6 are accepted. Their first steps take long.
        for (int job = 3; job <= 6; ++job) {
            if (!world.submit(0, "/q/" + jobId(job), small))
                return cannotRun("a job was not accepted");
        }
        const auto startsOf = [&](const std::string& prefix) {
            std::size_t count = 0;
            for (const auto& run : allRuns(world))
                count += run.task.starts_with(prefix);
            return count;
        };
        if (!waitFor(3000, [&] { return startsOf(jobId(3) + ".0.0.") == 2; }))
            return cannotRun("a job has not started");
        const auto firstStepEnds = record.now() + firstStepMs;
        const auto large
            = jobBody(Json::array({ { { "count", tasks }, { "cpu", 10 }, { "mem_mb", 1 }, { "est_ms", 1000 } } }));
        if (!world.submit(0, "/q/" + jobId(2), large))
            return cannotRun("the large job was not accepted");
        const auto isOver = [&] {
            sleepMs(200);
            std::size_t ended = 0;
            for (const auto& run : allRuns(world))
                ended += run.task.starts_with(jobId(2) + ".") && run.how == "done";
            return ended >= tasks;
        };
        const bool hasEnded = waitFor(12000, isOver);
        record.line("the tasks of the large job have %s; largest value written %zu bytes, %zu writes rejected",
            hasEnded ? "ended" : "not all ended", world.store.largestValue(), world.store.rejectedWrites());
        // Three accepted jobs are cancelled.
        const auto cancelledAt = steadyMs();
        std::set<int> open { 4, 5, 6 };
        while (!open.empty() && steadyMs() - cancelledAt < ackMs) {
            for (const int job : std::set(open)) {
                const auto status = world.request(0, "DELETE", "/q/" + jobId(job), "", 1000).status;
                if (status / 100 == 2 || status == 410)
                    open.erase(job);
            }
        }
        std::size_t unnoted = 0;
        for (auto& worker : world.workers)
            unnoted += worker->unnotedEnds();
        record.line(
            "%zu of 3 cancels are not acknowledged; %zu ends are not taken note of; the large job is shown as %s",
            open.size(), unnoted, world.request(0, "GET", "/q/" + jobId(2)).state.c_str());
        record.line("a new job: %d", world.request(0, "POST", "/q/" + jobId(7), small).status);
        // Planned work: the coordinator's machine is stopped and started.
        const int coordinator = world.coordinator();
        if (coordinator < 0)
            return cannotRun("no coordinator");
        auto& node = *world.nodes[static_cast<std::size_t>(coordinator)];
        record.line("operator: SIGTERM for %s", node.name().c_str());
        node.signal(SIGTERM);
        if (!node.ended(6000))
            node.kill();
        node.start();
        sleepMs(firstStepEnds - record.now());
        if (record.now() > firstStepEnds + 3000)
            return cannotRun("the machine is too slow");
        // The turn of the second step has come, and the workers are almost idle.
        const bool isStarted = waitFor(turnMs, [&] {
            sleepMs(200);
            return startsOf(jobId(3) + ".0.1.") > 0;
        });
        std::size_t running = 0;
        for (auto& worker : world.workers)
            running += worker->runningTasks();
        const auto shown = world.request(0, "GET", "/q/" + jobId(3)).state;
        record.line(
            "the second step of an accepted job has %s; %zu tasks run on all 12 workers; the job is shown as %s",
            isStarted ? "started" : "not started", running, shown.c_str());
        record.line("a new job: %d", world.request(1, "POST", "/q/" + jobId(8), small).status);
        return verdict(!isStarted,
            std::string("the second step of an accepted job ") + (isStarted ? "started" : "did not start")
                + " after its turn had come; " + std::to_string(open.size()) + " of 3 cancels not acknowledged");
    }

    // LOST. One accepted job with many times that are due together blocks each coordinator in turn, so that accepted
    // jobs of other tenants stand still and no process answers.
    int manyTimes(const std::string& folder)
    {
        constexpr std::int64_t startsInMs = 3000;
        constexpr std::int64_t calmMs = 4000;
        constexpr std::int64_t standstillMs = 3000; // by the rule
        constexpr std::int64_t observedMs = 20000;
        const int times = isTrouble() ? 10000 : 4;
        const Deployment deployment(folder, 3);
        auto& world = deployment.world;
        const auto behaviourOf
            = [](const std::string& task) { return Behaviour { task.starts_with(jobId(1) + ".") ? 2500 : 400 }; };
        for (int i = 0; i < 6; ++i)
            world.addWorker(workerSpec(i, "press", "a"), behaviourOf, {}, jobId(2));
        world.configure(1, Json::array({ World::route("q", "press"), World::route("times", "press") }), { "press" });
        world.start();
        if (!world.awaitReady())
            return cannotRun("processes are not ready");
        // A job of the first tenant: steps of 2.5 s, one after the other.
        constexpr int stepCount = 8;
        auto steps = Json::array();
        for (int i = 0; i < stepCount; ++i) {
            Json step { { "count", 2 }, { "cpu", 1000 }, { "mem_mb", 100 }, { "est_ms", 2500 } };
            if (i)
                step["after"] = { i - 1 };
            steps.push_back(step);
        }
        if (!world.submit(0, "/q/" + jobId(1), jobBody(steps)))
            return cannotRun("the first job was not accepted");
        const auto isRunning = [&] {
            return std::any_of(world.workers.begin(), world.workers.end(),
                [](const auto& worker) { return worker->runningTasks(jobId(1)) > 0; });
        };
        if (!waitFor(3000, isRunning))
            return cannotRun("the first job has not started");
        // The job of the second tenant: all its times are due in some seconds.
        auto body = Json { { "spec", "(text)" }, { "times", times }, { "start_ms", unixMs() + startsInMs } };
        body["steps"] = Json::array({ { { "count", 1 }, { "cpu", 10 }, { "mem_mb", 10 }, { "est_ms", 400 } } });
        const auto isAccepted
            = world.request(0, "POST", "/times/" + jobId(2), body.dump(), 3000, false, "key-2").status == 200;
        if (!isAccepted)
            return cannotRun("the second job was not accepted");
        const auto hasEnded = [&] {
            std::size_t ended = 0;
            for (const auto& run : allRuns(world))
                ended += run.task.starts_with(jobId(1) + ".0." + std::to_string(stepCount - 1) + ".")
                    && run.how == "done";
            return ended >= 2;
        };
        // The longest time for which the first job had nothing running. Counted from the calm after the due time on.
        const auto longestStandstill = [&](std::int64_t from, std::int64_t to) {
            std::int64_t longest = 0;
            std::int64_t since = -1;
            while (record.now() < to && !hasEnded()) {
                sleepMs(50);
                if (isRunning() || record.now() < from)
                    since = -1;
                else if (since < 0)
                    since = record.now();
                else
                    longest = std::max(longest, record.now() - since);
            }
            return longest;
        };
        const auto unanswered = [&] {
            int count = 0;
            for (std::size_t i = 0; i < world.nodes.size(); ++i)
                count += !world.request(i, "GET", "/q/" + jobId(1)).status;
            return count;
        };
        const auto calmFrom = record.now() + startsInMs + calmMs;
        const auto longest = longestStandstill(calmFrom, calmFrom + observedMs);
        const int silent = unanswered();
        record.line("the first job had nothing running for %lld ms on end; %d processes do not answer",
            static_cast<long long>(longest), silent);
        if (!hasEnded()) {
            record.line("operator: restarts all processes");
            for (auto& node : world.nodes)
                node->kill();
            for (auto& node : world.nodes)
                node->start();
            const auto again = longestStandstill(record.now() + 10000, record.now() + 20000);
            record.line("after the restart it had nothing running for %lld ms on end; %d processes do not answer",
                static_cast<long long>(again), unanswered());
        }
        return verdict(silent > 0 || longest > standstillMs,
            "the accepted job of another tenant had nothing running for " + std::to_string(longest) + " ms on end; "
                + std::to_string(silent) + " of 3 processes did not answer");
    }

    // GANG. A worker of a gang is lost. The members of the next run are told to go on from different checkpoints, so
    // that they never work together.
    int gangCheckpoints(const std::string& folder)
    {
        constexpr std::int64_t workMs = 8000;
        constexpr std::int64_t stableMs = 3000;
        constexpr std::int64_t observedMs = 30000;
        constexpr std::size_t members = 3;
        const bool hasTrouble = isTrouble();
        const Deployment deployment(folder, 3);
        auto& world = deployment.world;
        const auto behaviourOf = [](const std::string&) { return Behaviour { workMs, true, members }; };
        for (int i = 0; i < 7; ++i)
            world.addWorker(workerSpec(i, "press", "a"), behaviourOf);
        world.configure(1, Json::array({ World::route("q", "press") }), { "press" });
        world.start();
        if (!world.awaitReady())
            return cannotRun("processes are not ready");
        const auto body = jobBody(Json::array({ { { "count", members }, { "cpu", 4000 }, { "mem_mb", 1000 },
            { "est_ms", workMs }, { "gang", true }, { "checkpoint", true }, { "max_per_server", 1 } } }));
        const auto target = "/q/" + jobId(1);
        if (!world.submit(0, target, body))
            return cannotRun("the job was not accepted");
        const auto submittedAt = record.now();
        const auto running = [&] {
            std::size_t count = 0;
            for (auto& worker : world.workers)
                count += worker->runningTasks();
            return count;
        };
        if (!waitFor(5000, [&] { return running() == members; }))
            return cannotRun("the gang has not started");
        std::int64_t lostAt = record.now();
        if (hasTrouble) {
            sleepMs(3200);
            // A worker of the gang is lost for good, after a checkpoint and before its next response.
            Worker* lost = nullptr;
            const bool isFound = waitFor(3500, [&] {
                for (auto& worker : world.workers) {
                    if (worker->hasUnlistedCheckpoint())
                        lost = worker.get();
                }
                return lost != nullptr;
            });
            if (!isFound)
                return cannotRun("each checkpoint is listed at once");
            lost->crash();
            lostAt = record.now();
        }
        world.awaitState(0, target, "complete", submittedAt + workMs + observedMs - record.now());
        const auto state = world.request(0, "GET", target).state;
        std::map<std::int64_t, std::set<std::string>> checkpoints; // by run
        int aloneInCalm = 0;
        for (const auto& run : allRuns(world)) {
            checkpoints[run.number].insert(run.checkpoint.empty() ? "none" : run.checkpoint);
            // The members that started this run have waited in calm for all of their time.
            const bool isCalm = run.startedAt > lostAt + stableMs;
            aloneInCalm += run.how == "alone" && isCalm;
        }
        int differing = 0;
        for (const auto& [number, values] : checkpoints) {
            std::string text;
            for (const auto& value : values)
                text += " " + value;
            record.line("run %lld: last_checkpoint of its starts:%s", static_cast<long long>(number), text.c_str());
            differing += values.size() > 1;
        }
        return verdict(aloneInCalm > 0,
            std::to_string(aloneInCalm) + " runs ended alone in calm; in " + std::to_string(differing)
                + " runs the members were started with different checkpoints; the job is shown as " + state);
    }

    // LOST. The tasks of one tenant's lasting job fail soon after their start. All workers of the pool are idle for
    // seconds again and again, but the accepted jobs of another tenant never start.
    int failingService(const std::string& folder)
    {
        constexpr std::int64_t finishMs = 14000;
        constexpr std::int64_t observedMs = 30000;
        constexpr std::int64_t standstillMs = 3000; // by the rule
        constexpr std::int64_t workerCpu = 64000;
        constexpr std::int64_t failingCpu = 8000;
        constexpr int workers = 6;
        constexpr int jobs = 5;
        const bool hasTrouble = isTrouble();
        const Deployment deployment(folder, 3);
        auto& world = deployment.world;
        const auto behaviourOf = [](const std::string& task) {
            if (!task.starts_with(jobId(1) + "."))
                return Behaviour { 400 };
            // They fail 1.5 to 3 s after the start.
            const auto index = std::atoi(task.c_str() + task.rfind('.') + 1);
            return Behaviour { 1500 + index * 617 % 1500, false, 0, true };
        };
        for (int i = 0; i < workers; ++i)
            world.addWorker(workerSpec(i, "press", "a"), behaviourOf);
        world.configure(1, Json::array({ World::route("q", "press"), World::route("loop", "press") }), { "press" });
        world.start();
        if (!world.awaitReady())
            return cannotRun("processes are not ready");
        if (hasTrouble) {
            const auto body = jobBody(Json::array({ { { "count", workers * workerCpu / failingCpu },
                { "cpu", failingCpu }, { "mem_mb", 100 }, { "est_ms", 1000 }, { "long_running", true } } }));
            if (world.request(0, "POST", "/loop/" + jobId(1), body, 3000, false, "key-2").status != 200)
                return cannotRun("the lasting job was not accepted");
            sleepMs(10000);
        }
        const auto body
            = jobBody(Json::array({ { { "count", 2 }, { "cpu", 1000 }, { "mem_mb", 100 }, { "est_ms", 400 } } }));
        for (int job = 2; job < 2 + jobs; ++job) {
            if (!world.submit(0, "/q/" + jobId(job), body))
                return cannotRun("a job was not accepted");
        }
        const auto trafficEnd = record.now();
        sleepMs(finishMs + observedMs);
        // The longest time, from finish_s after the end of the traffic on, with under half of the capacity in use.
        std::vector<std::pair<std::int64_t, std::int64_t>> changes { { record.now(), workers * workerCpu } };
        std::set<std::string> started;
        for (const auto& run : allRuns(world)) {
            const bool isFailing = run.task.starts_with(jobId(1) + ".");
            if (!isFailing)
                started.insert(run.task.substr(0, run.task.find('.')));
            changes.emplace_back(run.startedAt, isFailing ? failingCpu : 1000);
            if (run.endedAt >= 0)
                changes.emplace_back(run.endedAt, isFailing ? -failingCpu : -1000);
        }
        std::sort(changes.begin(), changes.end());
        std::int64_t used = 0;
        std::int64_t longest = 0;
        std::int64_t idleSince = trafficEnd + finishMs;
        for (const auto& [time, change] : changes) {
            const bool wasIdle = used * 2 < workers * workerCpu;
            used += change;
            const bool isIdle = used * 2 < workers * workerCpu;
            if (wasIdle && !isIdle)
                longest = std::max(longest, time - idleSince);
            else if (!wasIdle && isIdle)
                idleSince = std::max(time, trafficEnd + finishMs);
        }
        for (int job = 2; job < 2 + jobs; ++job)
            world.request(0, "GET", "/q/" + jobId(job));
        const auto waiting = jobs - static_cast<int>(started.size());
        record.line("under half of the capacity was in use for up to %lld ms on end; %d of %d jobs have not started",
            static_cast<long long>(longest), waiting, jobs);
        return verdict(waiting > 0 && longest >= standstillMs,
            std::to_string(waiting) + " of " + std::to_string(jobs) + " accepted jobs have not started after "
                + std::to_string((finishMs + observedMs) / 1000)
                + " s; under half of the capacity was in use for up to " + std::to_string(longest) + " ms on end");
    }

    // Not a case, as no rule is broken. The store turns the coordinator away for about as long as its lease lasts. That
    // process then hears of its successor by a watch, and forgets it again.
    int forgottenOwner(const std::string& folder)
    {
        constexpr int rounds = 12;
        constexpr std::int64_t observedMs = 30000;
        const Deployment deployment(folder, 3);
        auto& world = deployment.world;
        for (int i = 0; i < 4; ++i)
            world.addWorker(workerSpec(i, "press", "a"), [](const std::string&) { return Behaviour { 400 }; });
        world.configure(1, Json::array({ World::route("q", "press") }), { "press" });
        world.start();
        if (!world.awaitReady())
            return cannotRun("processes are not ready");
        const auto target = "/q/" + jobId(1);
        const auto body
            = jobBody(Json::array({ { { "count", 2 }, { "cpu", 1000 }, { "mem_mb", 100 }, { "est_ms", 400 } } }));
        if (!world.submit(0, target, body) || !world.awaitState(0, target, "complete", 8000))
            return cannotRun("the job has not completed");
        for (int round = 0; round < rounds && isTrouble(); ++round) {
            const int coordinator = world.coordinator();
            if (coordinator < 0)
                return cannotRun("no coordinator");
            const auto former = static_cast<std::size_t>(coordinator);
            world.store.setBusy(former, true);
            sleepMs(1000 + 60 * round);
            world.store.setBusy(former, false);
            sleepMs(3000);
            if (world.request(former, "GET", target).status == 200)
                continue;
            const auto until = record.now() + observedMs;
            int answered = 0;
            int asked = 0;
            int ready = 0;
            while (record.now() < until) {
                answered += world.request(former, "GET", target).status == 200;
                ready += world.nodes[former]->isReady();
                ++asked;
            }
            const auto other = world.request((former + 1) % world.nodes.size(), "GET", target).status;
            return verdict(answered < asked,
                world.nodes[former]->name() + " answered " + std::to_string(answered) + " of " + std::to_string(asked)
                    + " calls in 30 s, and was ready " + std::to_string(ready) + " times; another process answers with "
                    + std::to_string(other));
        }
        return verdict(false, "all processes serve");
    }

} // namespace

} // namespace review

int main(int argc, char** argv)
{
    using namespace review;
    std::signal(SIGPIPE, SIG_IGN);
    if (argc < 3)
        return 2;
    const std::string name = argv[1];
    const std::string folder = argv[2];
    record.open(folder + "/record.txt");
    auto temporary = (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
    if (!::mkdtemp(temporary.data()))
        return 2;
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    const std::map<std::string, int (*)(const std::string&)> cases { { "late-acknowledgement", lateAcknowledgement },
        { "removed-route", removedRoute }, { "failing-service", failingService }, { "forgotten-owner", forgottenOwner },
        { "large-job", largeJob }, { "many-times", manyTimes }, { "gang-checkpoints", gangCheckpoints } };
    const auto found = cases.find(name);
    const int status = found == cases.end() ? 2 : found->second(temporary);
    // Threads of the stand-ins run on, so the process ends without destructors of static objects.
    std::fflush(nullptr);
    if (const char* kept = std::getenv("KEEP_LOGS"); !kept) {
        for (int i = 1; i <= 8; ++i) {
            for (const char* end : { "-1.toml", "-1.log" })
                ::unlink((temporary + "/edge-z" + std::to_string(i) + end).c_str());
        }
        ::rmdir(temporary.c_str());
    } else {
        std::printf("logs: %s\n", temporary.c_str());
    }
    std::_Exit(status);
}
