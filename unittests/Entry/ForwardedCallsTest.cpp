// Tests of what an entry instance makes of the replies of the coordinator to which it forwards a call.
#include "ScriptedPlatform.h"
#include "marigoldlink/Entry/FleetNode.h"

#include <gtest/gtest.h>

namespace marigoldlink {
namespace {

    // An entry instance and a coordinator on another one, which replies as the test tells it.
    class ForwardedCalls : public testing::Test {
    protected:
        ForwardedCalls()
            : coordinator(loop, {},
                [this](const HttpRequest& request, const HttpResponderPtr& responder) { serve(request, responder); })
            , node(loop, platform, settings(), {})
        {
            const auto endpoint = coordinator.listen({ "127.0.0.1", 0 });
            node.start();
            platform.answer(platform.operatorPrefix(), StoreStatus::Ok, Revision(10),
                { { "operators/config", "1", Revision(10) } });
            platform.answer(
                records::owner, StoreStatus::Ok, Revision(20), { { records::owner, endpoint.text(), Revision(20) } });
        }

        static NodeSettings settings()
        {
            NodeSettings settings;
            settings.peers = { "127.0.0.1", 0 };
            settings.peerTimeout = Duration(200);
            return settings;
        }

        void serve(const HttpRequest& request, const HttpResponderPtr& responder)
        {
            if (request.path != "/v1/fleet/call") {
                responder->send({ 404, "", "text/plain", {} });
                return;
            }
            const auto attempt = attempts.size();
            attempts.push_back(responder);
            if (attempt >= unansweredAttempts)
                responder->send({ 200, encodeReply({ replyKind, {}, 0, {} }), "text/plain", {} });
        }

        CallResult submit()
        {
            FleetCallRequest request { FleetCallRequest::Kind::Submit, {} };
            request.job.id = JobId("a");
            std::optional<CallResult> result;
            node.call(std::move(request), Duration(5000), [&result](const CallResult& answer) { result = answer; });
            loop.runUntil([&result] { return result.has_value(); });
            return *result;
        }

        EventLoop loop;
        ScriptedPlatform platform;
        std::vector<HttpResponderPtr> attempts;
        std::size_t unansweredAttempts { 0 };
        Reply::Kind replyKind { Reply::Kind::Refused };
        HttpServer coordinator;
        FleetNode<ScriptedPlatform> node;
    };

    TEST_F(ForwardedCalls, ARefusalOfTheOnlyAttemptIsPassedOn)
    {
        const auto result = submit();
        EXPECT_EQ(result.kind, CallResult::Kind::Answered);
        EXPECT_EQ(result.reply.kind, Reply::Kind::Refused);
    }

    // Guards against callers that are told "never runs" by a former coordinator: the entry instance answers at once
    // that the outcome is not known, so that the caller comes again.
    TEST_F(ForwardedCalls, ASubmissionThatAFormerCoordinatorDidNotStoreHasNoKnownOutcome)
    {
        replyKind = Reply::Kind::NotStoredHere;
        EXPECT_EQ(submit().kind, CallResult::Kind::Unknown);
        EXPECT_EQ(attempts.size(), 1u);
    }

    // Guards against jobs that run although their submission was refused: the first attempt had no answer and was
    // accepted after the second one had been refused.
    TEST_F(ForwardedCalls, ARefusalAfterAnUnansweredAttemptIsNotPassedOn)
    {
        unansweredAttempts = 1;
        EXPECT_EQ(submit().kind, CallResult::Kind::Unknown);
        EXPECT_EQ(attempts.size(), 2u);
    }

    // Guards against callers that get no answer from an instance that stops: calls that no coordinator has answered end
    // with what is known about them, and later ones at once.
    TEST_F(ForwardedCalls, CallsAreFinishedWhenTheInstanceStops)
    {
        unansweredAttempts = 1;
        const auto call = [this](FleetCallRequest::Kind kind, std::vector<CallResult>& results) {
            FleetCallRequest request { kind, {} };
            request.job.id = JobId("a");
            node.call(std::move(request), Duration(60000),
                [&results](const CallResult& answer) { results.push_back(answer); });
        };
        std::vector<CallResult> forwarded;
        call(FleetCallRequest::Kind::Submit, forwarded);
        loop.runUntil([this] { return attempts.size() == 1; });
        node.finishCalls();
        ASSERT_EQ(forwarded.size(), 1u);
        EXPECT_EQ(forwarded[0].kind, CallResult::Kind::Unknown);
        std::vector<CallResult> later;
        call(FleetCallRequest::Kind::JobStatus, later);
        ASSERT_EQ(later.size(), 1u);
        EXPECT_EQ(later[0].kind, CallResult::Kind::NotReached);
        EXPECT_EQ(attempts.size(), 1u);
    }

    // A call without a coordinator has had no effect.
    TEST_F(ForwardedCalls, ACallThatReachedNoCoordinatorIsFinishedAsNotReached)
    {
        FleetNode<ScriptedPlatform> alone(loop, platform, settings(), {});
        std::vector<CallResult> results;
        alone.call({ FleetCallRequest::Kind::Submit, {} }, Duration(60000),
            [&results](const CallResult& answer) { results.push_back(answer); });
        EXPECT_TRUE(results.empty());
        alone.finishCalls();
        ASSERT_EQ(results.size(), 1u);
        EXPECT_EQ(results[0].kind, CallResult::Kind::NotReached);
    }

} // namespace
} // namespace marigoldlink
