// Decoders for records and responses of other programs: valid, malformed and corrupted input.
#include "platform/AdviceCalls.h"
#include "platform/CallerGateway.h"
#include "platform/InstanceCalls.h"
#include "platform/OperatorRecords.h"
#include "platform/WorkerCalls.h"

#include <gtest/gtest.h>
#include <random>

namespace marigoldlink::platform {

namespace {

    const std::string s_worker
        = R"({"service":"gates","addr":"10.0.0.9:8080","zone":"riga-a","slots":8,"state":"ready","cold_left_ms":0,)"
          R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"clock_ms":482113,"seq":4,"born":77})";
    const std::string s_config
        = R"({"version":7,"routes":[{"name":"r-1","host":"a.example","prefix":"/x/","service":"gates","priority":1,)"
          R"("attempts":3,"stretch":1.6,"slo_ms":600,"no_auth":false}],"services":[{"name":"gates","spare":false,)"
          R"("rejects_overload":true}],"tenants":[{"name":"t","api_keys":["k1","k2"],"weight":5,)"
          R"("max_count":{"cpu":100,"mem_mb":200,"gpu":0}}]})";
    const std::string s_pollAnswer
        = R"({"clock_ms":482113,"born":5,"running":[["5c0e.0.1.17",2,"abc",41,7]],)"
          R"("ended_runs":[[58,"5c0e.0.1.9",1,"done",""],[59,"5c0e.0.1.10",1,"no such end",""]]})";
    const std::string s_instances
        = R"({"machines":[{"machine":"m-1","pool":"gates","state":"up","zone":"riga-a","labels":["a","r1-3"],)"
          R"("capacity":{"cpu":64000,"mem_mb":131072,"gpu":0},"id":"i-1"},{"machine":"m-2","state":"moving","labels":7}],)"
          R"("next_token":"m-2"})";
    const std::string s_advice = R"({"good":[["i-1","c81e-7a21d94b"],["i-2"],7,["i-3",5]],"valid_ms":3000})";
    const std::string s_job
        = R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,"est_ms":900,"affinity":"r1-3"},)"
          R"({"count":20,"cpu":2000,"after":[0],"checkpoint":true,"max_per_server":2}],"times":3,"start_ms":5,"interval_ms":9})";

    StoredValue storedValue(const std::string& key, const std::string& value) { return { key, value, Revision(1) }; }

} // namespace

TEST(Decoders, AWorkersEntry)
{
    const auto entry = decodeWorker(storedValue("servers/i-1", s_worker));
    ASSERT_TRUE(entry);
    EXPECT_EQ(entry->incarnation.id, WorkerId("i-1"));
    EXPECT_EQ(entry->incarnation.startedUnixMs, 77);
    EXPECT_EQ(entry->service, ServiceId("gates"));
    EXPECT_EQ(entry->rack, RackId("r1-3"));
    EXPECT_EQ(entry->capacity.milliCores, 16000);
}

TEST(Decoders, AnEntryThatNamesNoUsableWorkerIsLeftOut)
{
    EXPECT_FALSE(decodeWorker(storedValue("servers/i-1", "not json")));
    EXPECT_FALSE(decodeWorker(storedValue("servers/i-1", "[]")));
    EXPECT_FALSE(decodeWorker(storedValue("servers/i-1", R"({"state":"ready","service":"gates"})")));
    auto odd = s_worker;
    odd.replace(odd.find("ready"), 5, "happy");
    EXPECT_FALSE(decodeWorker(storedValue("servers/i-1", odd)));
}

// A full list of ends may leave out further ones; rows that do not parse count as well.
TEST(Decoders, AFullListOfEndsMayLeaveOutOthers)
{
    const auto answerWithEnds = [](int count) {
        std::string rows = R"([1,"malformed"])";
        for (int i = 2; i <= count; ++i)
            rows += R"(,[)" + std::to_string(i) + R"(,"5c0e.0.1.)" + std::to_string(i) + R"(",1,"done",""])";
        return decodePollAnswer(R"({"clock_ms":482113,"born":5,"running":[],"ended_runs":[)" + rows + "]}");
    };
    EXPECT_FALSE(answerWithEnds(499).mayHaveMoreEnds);
    EXPECT_TRUE(answerWithEnds(500).mayHaveMoreEnds);
}

TEST(Decoders, OperatorsRecords)
{
    const auto operators
        = decodeOperators({ storedValue("op/config", s_config), storedValue("op/evacuate/riga-a", "{}"),
            storedValue("op/wave/3", R"({"wave":3,"machines":["m-1","m-2"],"duration_s":20,"max_count":2})"),
            storedValue("op/unknown", "[") });
    EXPECT_EQ(operators.config.version, 7);
    const auto* queue = operators.config.queueFor("a.example", "/x/0123");
    ASSERT_TRUE(queue);
    EXPECT_EQ(queue->maxTaskFailures, 3);
    EXPECT_EQ(queue->objectiveAllowance, Duration(600));
    EXPECT_EQ(operators.config.teamByKey.at("k2"), TeamId("t"));
    EXPECT_TRUE(operators.evacuatedDataCenters.contains(DataCenterId("riga-a")));
    EXPECT_EQ(operators.waves.at(WaveId("3")).maxConcurrent, 2);
}

TEST(Decoders, TheLongestPrefixOfTheHostDecides)
{
    FleetConfig config;
    for (const auto* prefix : { "/a/", "/a/b/" }) {
        JobQueue queue;
        queue.id = QueueId(prefix);
        queue.host = "h";
        queue.pathPrefix = prefix;
        config.queues.emplace(queue.id, queue);
    }
    EXPECT_EQ(config.queueFor("h", "/a/b/1")->id, QueueId("/a/b/"));
    EXPECT_EQ(config.queueFor("h", "/a/1")->id, QueueId("/a/"));
    EXPECT_EQ(config.queueFor("other", "/a/1"), nullptr);
}

TEST(Decoders, APollLeavesOutRowsThatDoNotParse)
{
    const auto pollAnswer = decodePollAnswer(s_pollAnswer);
    EXPECT_EQ(pollAnswer.status, PollAnswer::Status::Answered);
    ASSERT_EQ(pollAnswer.running.size(), 1u);
    EXPECT_EQ(pollAnswer.running[0].task, (TaskKey { JobId("5c0e"), 0, 1, 17 }));
    EXPECT_EQ(pollAnswer.running[0].percent, 41);
    ASSERT_EQ(pollAnswer.ended.size(), 1u);
    EXPECT_EQ(pollAnswer.ended[0].how, RunEnd::Done);
    EXPECT_EQ(decodePollAnswer("{}").status, PollAnswer::Status::Failed);
}

TEST(Decoders, PagesOfInstances)
{
    std::vector<FleetInstance> instances;
    EXPECT_EQ(decodeInstances(s_instances, instances), "m-2");
    ASSERT_EQ(instances.size(), 2u);
    EXPECT_EQ(instances[0].id, "m-1");
    EXPECT_EQ(instances[0].pool, ServiceId("gates"));
    EXPECT_EQ(instances[0].state, InstanceState::Up);
    EXPECT_EQ(instances[0].labels, (std::set<std::string> { "a", "r1-3" }));
    EXPECT_EQ(instances[0].capacity.milliCores, 64000);
    EXPECT_EQ(instances[0].worker, WorkerId("i-1"));
    EXPECT_EQ(instances[1].state, InstanceState::Moving);
    EXPECT_TRUE(instances[1].labels.empty());
    EXPECT_EQ(decodeInstances(R"({"machines":[]})", instances), "") << "the last page";
    EXPECT_EQ(decodeInstances(R"({"machines":[],"next_token":null})", instances), "");
    EXPECT_EQ(decodeInstances(R"({"machines":[],"next_token":12})", instances), "12");
    EXPECT_FALSE(decodeInstances("{}", instances));
    EXPECT_FALSE(decodeInstances(s_instances.substr(0, 90), instances));
    EXPECT_EQ(instances.size(), 2u);
}

TEST(Decoders, TaskNames)
{
    EXPECT_EQ(parseTaskName("ab.0.1.2"), (TaskKey { JobId("ab"), 0, 1, 2 }));
    for (const auto* text : { "", "ab", "ab.0.1", "ab.0.1.2.3", "ab.0.x.2", ".0.1.2", "ab.-1.0.0", "ab.0.1.2 " })
        EXPECT_FALSE(parseTaskName(text)) << text;
}

TEST(Decoders, JobBodies)
{
    const auto job = decodeJobBody(s_job);
    ASSERT_TRUE(job);
    ASSERT_EQ(job->steps.size(), 2u);
    EXPECT_EQ(job->steps[0].dataRack, RackId("r1-3"));
    EXPECT_EQ(job->steps[1].after, std::vector<int> { 0 });
    EXPECT_EQ(job->schedule.occurrences, 3);
    EXPECT_FALSE(decodeJobBody("{}"));
    EXPECT_FALSE(decodeJobBody(R"({"steps":[]})"));
    EXPECT_FALSE(decodeJobBody(R"({"steps":[{"count":0}]})"));
    EXPECT_FALSE(decodeJobBody(R"({"steps":[{"count":1,"after":[0]}]})")) << "a step must not depend on itself";
}

// Guards against small bodies that make the process allocate without bound, and numbers that a type cannot hold.
TEST(Decoders, JobBodiesAreBounded)
{
    const auto fault = [](const std::string& body) {
        auto found = JobBodyFault::Malformed;
        return decodeJobBody(body, {}, &found) ? std::optional<JobBodyFault>() : found;
    };
    EXPECT_EQ(fault(R"({"steps":[{"count":100000}]})"), std::nullopt);
    EXPECT_EQ(fault(R"({"steps":[{"count":100000},{"count":1}]})"), JobBodyFault::JobLimit);
    EXPECT_EQ(fault(R"({"times":2000000000,"steps":[{"count":1}]})"), JobBodyFault::JobLimit);
    // A schedule of a year whose occurrences are an hour apart has few tasks open at once.
    EXPECT_EQ(fault(R"({"times":8760,"start_ms":4000000000000,"interval_ms":3600000,"steps":[{"count":100}]})"),
        std::nullopt);
    EXPECT_EQ(fault(R"({"spec":")" + std::string(8193, 'a') + R"(","steps":[{"count":1}]})"), JobBodyFault::JobLimit);
    EXPECT_EQ(fault(R"({"spec":")" + std::string(8000, '[') + R"(","steps":[{"count":1}]})"), std::nullopt);
    EXPECT_EQ(fault(std::string(40, '[') + std::string(40, ']')), JobBodyFault::JsonLimit);
    std::string values = R"({"steps":[{"count":1}],"a":[0)";
    for (int i = 0; i < 70000; ++i)
        values += ",0";
    EXPECT_EQ(fault(values + "]}"), JobBodyFault::JsonLimit);
    EXPECT_EQ(fault(R"({"steps":[{"count":1},{"after":[4294967296]}]})"), JobBodyFault::Malformed);
    EXPECT_EQ(fault(R"({"steps":[{"cpu":9000000000000000000}]})"), JobBodyFault::Malformed);
    EXPECT_EQ(decodeJobBody(R"({"steps":[{"count":1,"est_ms":1e300}]})")->steps[0].estimate, Duration(0));
}

TEST(Decoders, Advice)
{
    const auto advice = decodeAdvice(s_advice);
    ASSERT_TRUE(advice.isAnswered);
    EXPECT_EQ(advice.valid, Duration(3000));
    EXPECT_EQ(advice.tickets, (std::map<WorkerId, std::string> { { WorkerId("i-1"), "c81e-7a21d94b" } }));
    EXPECT_TRUE(decodeAdvice(R"({"good":[],"valid_ms":3000})").isAnswered);
    EXPECT_FALSE(decodeAdvice("{}").isAnswered);
    EXPECT_FALSE(decodeAdvice(R"({"good":7})").isAnswered);
}

// Fuzzes every decoder with changed, truncated and duplicated bytes. A decoder must return without a crash.
TEST(Decoders, CorruptedInputDoesNotCrash)
{
    std::mt19937 generator(20261204);
    for (int round = 0; round < 4000; ++round) {
        for (const auto& valid : { s_worker, s_config, s_pollAnswer, s_job, s_advice, s_instances }) {
            auto text = valid;
            const auto edits = 1 + generator() % 4;
            for (std::uint32_t i = 0; i < edits && !text.empty(); ++i) {
                const auto position = generator() % text.size();
                switch (generator() % 4) {
                case 0:
                    text[position] = static_cast<char>(generator());
                    break;
                case 1:
                    text.resize(position);
                    break;
                case 2:
                    text.insert(position, text.substr(position / 2, 20));
                    break;
                default:
                    text.replace(position, 1, "-1");
                }
            }
            decodeWorker(storedValue("servers/i-1", text));
            decodeOperators({ storedValue("op/config", text), storedValue("op/wave/1", text) });
            decodePollAnswer(text);
            decodeAdvice(text);
            std::vector<FleetInstance> instances;
            decodeInstances(text, instances);
            decodeJobBody(text);
            parseTaskName(text);
        }
    }
}

} // namespace marigoldlink::platform
