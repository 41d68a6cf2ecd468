// Tests of the calls that an entry instance serves as the coordinator when it resigns for a planned stop.
#include "ScriptedPlatform.h"
#include "marigoldlink/Entry/FleetNode.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace marigoldlink {
namespace {

    constexpr Duration s_answerTime { 1000 };
    const JobId s_job("a");

    std::uint16_t freePort()
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        ::bind(socket, reinterpret_cast<sockaddr*>(&address), length);
        ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
        ::close(socket);
        return ntohs(address.sin_port);
    }

    // The coordinator, whose first journal write the store has not answered, and a peer.
    class StepDown : public testing::Test {
    protected:
        StepDown()
        {
            m_loop.every(Duration(5), [] {}); // wakes the loop
            m_node.start();
            m_platform.answer(m_platform.operatorPrefix(), StoreStatus::Ok, Revision(10),
                { { "operators/config", "1", Revision(10) } });
            m_platform.answer(records::owner, StoreStatus::Ok, Revision(10));
            m_platform.leases.front()({ LeaseStatus::Valid, StoreLease(1), Duration(60000) });
            m_platform.answer(records::head, StoreStatus::Ok, Revision(10));
            const auto elected = std::move(m_platform.writes.back().callback);
            m_platform.writes.pop_back();
            elected({ StoreWriteStatus::Done, Revision(11) });
            for (const auto& prefix : { records::jobPrefix, records::progressPrefix, records::cancelledIdPrefix,
                     records::queuePrefix, records::wavePrefix, records::workerPrefix })
                m_platform.answer(std::string(prefix), StoreStatus::Ok, Revision(11));
            m_platform.answer(m_platform.workerPrefix(), StoreStatus::Ok, Revision(11));
            std::optional<HttpResult> ready;
            while (!ready || decodeReply(ready->body).kind == Reply::Kind::NotCoordinator) {
                ready.reset();
                callAsPeer(FleetCallRequest::Kind::Waiting, ready);
                m_loop.runUntil([&ready] { return ready.has_value(); });
            }
            m_writesBefore = m_platform.writes.size();
        }

        NodeSettings settings() const
        {
            NodeSettings settings;
            settings.peers = m_endpoint;
            return settings;
        }

        static FleetCallRequest request(FleetCallRequest::Kind kind)
        {
            FleetCallRequest request { kind, {} };
            request.job.id = s_job;
            request.job.queue = QueueId("checks");
            StepSpec step;
            step.tasks = 1;
            step.need = { 1000, 100, 0 };
            request.job.steps.push_back(step);
            return request;
        }

        void callAsPeer(FleetCallRequest::Kind kind, std::optional<HttpResult>& result)
        {
            HttpCall call;
            call.method = "POST";
            call.target = "/v1/fleet/call";
            call.body = encodeCall(request(kind));
            call.timeout = s_answerTime;
            m_peer.send(m_endpoint, std::move(call), [&result](const HttpResult& ended) { result = ended; });
        }

        // The store answers the registration of the instance, which is the first write.
        void registered(Revision revision)
        {
            const auto callback = std::move(m_platform.writes.front().callback);
            m_platform.writes.pop_front();
            callback({ StoreWriteStatus::Done, revision });
        }

        // Whether the registration is being removed, unless it is a later one than that of the given revision.
        bool isRemoved(Revision revision) const
        {
            const auto key = "marigold/member/" + m_endpoint.text();
            return std::any_of(m_platform.writes.begin(), m_platform.writes.end(), [&](const auto& each) {
                return each.write.removals == std::vector { key }
                && each.write.expected == std::vector { std::pair(key, revision) };
            });
        }

        void awaitJournalWrite()
        {
            m_loop.runUntil([this] { return m_platform.writes.size() > m_writesBefore; });
        }

        EventLoop m_loop;
        ScriptedPlatform m_platform;
        Endpoint m_endpoint { "127.0.0.1", freePort() };
        FleetNode<ScriptedPlatform> m_node { m_loop, m_platform, settings(), {} };
        HttpClient m_peer { m_loop };
        std::size_t m_writesBefore { 0 };
    };

    // Guards against calls of peers that get no answer when the coordinator resigns: their callers would wait for the
    // timeout of the call.
    TEST_F(StepDown, AnswersTheCallsOfPeersThatAreInWork)
    {
        std::optional<HttpResult> submission;
        callAsPeer(FleetCallRequest::Kind::Submit, submission);
        awaitJournalWrite();
        const auto before = m_loop.now();
        m_node.stepDown();
        m_loop.runUntil([&submission] { return submission.has_value(); });
        EXPECT_LT(m_loop.now() - before, s_answerTime / 2);
        ASSERT_EQ(submission->kind, HttpResult::Kind::Answered);
        EXPECT_EQ(submission->status, 504) << "the journal may have the job";
    }

    // Guards against peers that take a call for one that may have had an effect: nothing was done with it.
    TEST_F(StepDown, ACallOfAPeerThatArrivesLaterHasNoEffect)
    {
        m_node.stepDown();
        std::optional<HttpResult> submission;
        callAsPeer(FleetCallRequest::Kind::Submit, submission);
        m_loop.runUntil([&submission] { return submission.has_value(); });
        ASSERT_TRUE(submission->isOk());
        EXPECT_EQ(decodeReply(submission->body).kind, Reply::Kind::NotCoordinator);
    }

    // Guards against an answer that denies a submission whose record is being written.
    TEST_F(StepDown, ACallOfAnOwnCallerHasNoKnownOutcomeWithoutASuccessor)
    {
        std::optional<CallResult> result;
        m_node.call(request(FleetCallRequest::Kind::Submit), s_answerTime / 2,
            [&result](const CallResult& ended) { result = ended; });
        awaitJournalWrite();
        m_node.stepDown();
        m_loop.runUntil([&result] { return result.has_value(); });
        EXPECT_EQ(result->kind, CallResult::Kind::Unknown);
    }

    // Guards against elections that wait for an instance that stops, and against a successor that resigns in its favour
    // a second later: its registration outlived it.
    TEST_F(StepDown, RemovesTheRegistration)
    {
        registered(Revision(12));
        m_node.stepDown();
        EXPECT_TRUE(isRemoved(Revision(12)));
    }

    // Guards against the same for an instance that stops soon after its start.
    TEST_F(StepDown, RemovesARegistrationThatIsAnsweredLater)
    {
        m_node.stepDown();
        registered(Revision(12));
        EXPECT_TRUE(isRemoved(Revision(12)));
    }

} // namespace
} // namespace marigoldlink
