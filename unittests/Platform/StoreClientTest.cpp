// StoreClient against a stub of the key-value service.
#include "platform/StoreClient.h"

#include <gtest/gtest.h>

namespace marigoldlink::platform {

namespace {

    class StoreClientTest : public testing::Test {
    protected:
        StoreClientTest()
            : m_server(m_loop, {},
                [this](const HttpRequest& request, const HttpResponderPtr& responder) {
                    m_targets.emplace_back(std::string(request.path) + '?' + std::string(request.query));
                    m_bodies.emplace_back(request.body);
                    if (m_answers.empty())
                        return m_unanswered.push_back(responder);
                    responder->send(m_answers.front());
                    m_answers.erase(m_answers.begin());
                })
            , m_client(m_loop)
            , m_store(m_client, m_server.listen({ "127.0.0.1", 0 }))
        {
        }

        void answer(int status, const std::string& body)
        {
            m_answers.push_back({ status, body, "application/json", {} });
        }

        template <typename Result, typename Call> Result result(Call call)
        {
            std::optional<Result> result;
            call([&result](Result value) { result = std::move(value); });
            m_loop.runUntil([&result] { return result.has_value(); });
            return *result;
        }

        StoreWriteResult write()
        {
            StoreWrite call;
            call.expected = { { "a", Revision(4) } };
            call.puts = { { "a", "text", StoreLease(9) } };
            return result<StoreWriteResult>([&](auto callback) { m_store.write(call, callback); });
        }

        EventLoop m_loop;
        std::vector<HttpResponse> m_answers;
        std::vector<HttpResponderPtr> m_unanswered;
        std::vector<std::string> m_targets;
        std::vector<std::string> m_bodies;
        HttpServer m_server;
        HttpClient m_client;
        StoreClient m_store;
    };

} // namespace

TEST_F(StoreClientTest, WriteResponsesMapToStatuses)
{
    answer(200, R"({"rev":412})");
    const auto done = write();
    EXPECT_EQ(done.status, StoreWriteStatus::Done);
    EXPECT_EQ(done.revision, Revision(412));
    EXPECT_NE(m_bodies[0].find(R"("value":"dGV4dA==")"), std::string::npos) << m_bodies[0];
    answer(412, R"({"items":[]})");
    EXPECT_EQ(write().status, StoreWriteStatus::Conflict);
    answer(404, "{}");
    EXPECT_EQ(write().status, StoreWriteStatus::LeaseEnded);
    answer(429, "{}");
    EXPECT_EQ(write().status, StoreWriteStatus::Refused);
    answer(503, "{}");
    EXPECT_EQ(write().status, StoreWriteStatus::Refused);
    answer(200, "cut bo");
    EXPECT_EQ(write().status, StoreWriteStatus::Unknown);
    EXPECT_EQ(write().status, StoreWriteStatus::Unknown) << "no response at all";
}

TEST_F(StoreClientTest, ARangeReadsEveryPageAndKeepsTheFirstRevision)
{
    answer(200, R"({"items":[{"key":"p/a","value":"MQ==","rev":3}],"has_more":true,"current_rev":10})");
    answer(200, R"({"items":[{"key":"p/b","value":"Mg==","rev":4}],"has_more":false,"current_rev":12})");
    const auto range = result<RangeResult>([&](auto callback) { m_store.range("p/", callback); });
    EXPECT_EQ(range.status, StoreStatus::Ok);
    EXPECT_EQ(range.revision, Revision(10));
    ASSERT_EQ(range.values.size(), 2u);
    EXPECT_EQ(range.values[1].value, "2");
    EXPECT_NE(m_targets[1].find("after=p/a"), std::string::npos);
}

TEST_F(StoreClientTest, AWatchTellsOfRemovalsAndOfLostHistory)
{
    answer(200,
        R"({"events":[{"key":"p/a","rev":13,"deleted":true},{"key":"p/b","value":"Mw==","rev":14}],"current_rev":14})");
    const auto watch
        = result<RangeResult>([&](auto callback) { m_store.watch("p/", Revision(12), Duration(100), callback); });
    EXPECT_EQ(watch.revision, Revision(14));
    ASSERT_EQ(watch.values.size(), 2u);
    EXPECT_TRUE(watch.values[0].value.empty());
    EXPECT_EQ(watch.values[1].value, "3");
    answer(410, "{}");
    EXPECT_EQ(
        result<RangeResult>([&](auto callback) { m_store.watch("p/", Revision(1), Duration(100), callback); }).status,
        StoreStatus::Missing);
    answer(503, "{}");
    EXPECT_EQ(
        result<RangeResult>([&](auto callback) { m_store.watch("p/", Revision(1), Duration(100), callback); }).status,
        StoreStatus::Unavailable);
}

TEST_F(StoreClientTest, LeasesAreOpenedRenewedAndEnd)
{
    answer(200, R"({"lease":77120,"ttl_ms":3000})");
    const auto opened = result<StoreLeaseResult>([&](auto callback) { m_store.openLease(Duration(3000), callback); });
    EXPECT_EQ(opened.status, LeaseStatus::Valid);
    EXPECT_EQ(opened.lease, StoreLease(77120));
    answer(404, "{}");
    EXPECT_EQ(result<StoreLeaseResult>([&](auto callback) { m_store.renewLease(opened.lease, callback); }).status,
        LeaseStatus::Ended);
    answer(503, "{}");
    EXPECT_EQ(result<StoreLeaseResult>([&](auto callback) { m_store.renewLease(opened.lease, callback); }).status,
        LeaseStatus::Refused);
}

} // namespace marigoldlink::platform
