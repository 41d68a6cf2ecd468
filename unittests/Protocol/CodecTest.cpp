// Records and peer messages round-trip through their encoding; malformed input is rejected.
#include "marigoldlink/Protocol/Generated/Peer_types.h"
#include "marigoldlink/Protocol/JobCodec.h"
#include "marigoldlink/Protocol/PeerCodec.h"
#include "marigoldlink/Protocol/RecordCodec.h"
#include "marigoldlink/State/Errors.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldlink::testing {

TEST(RecordCodec, RecordsRoundTrip)
{
    const ConfigRecord config { "config/text", 7, "write", "body with \"quotes\" and \n lines" };
    EXPECT_EQ(decodeConfigRecord(config.key, encode(config)), config);
    const EscrowRecord escrow { 10, 3, { { HolderId(1), 4 }, { HolderId(9), 6 } } };
    EXPECT_EQ(decodeEscrowRecord(encode(escrow)), escrow);
    const MemberRecord members { 5, 9, 4,
        { { HolderId(3), DataCenterId("dc"), { "127.0.0.1", 80 }, MemberState::Leaving, 4 } }, { HolderId(2) } };
    EXPECT_EQ(decodeMemberRecord(encode(members)), members);
    const InstanceRecord instance { InstanceId("i"), DataCenterId("dc"), RackId("r"), { "127.0.0.1", 81 }, 8,
        PoolId("p"), InstancePhase::Draining, 4, PoolId("q"), 2 };
    EXPECT_EQ(decodeInstanceRecord(encode(instance)), instance);
}

TEST(RecordCodec, QueueRecordsRoundTrip)
{
    JobQueue queue;
    queue.id = QueueId("checks");
    queue.service = ServiceId("gates");
    queue.priority = 2;
    queue.maxTaskFailures = 3;
    queue.objectiveFactor = 1.6;
    queue.objectiveAllowance = Duration(600);
    queue.needsAdvice = true;
    const QueueRecord record { { ServiceId("gates"), ServiceId("lanes") }, queue };
    const auto decoded = decodeQueue(queue.id, encodeQueue(record));
    EXPECT_EQ(decoded.services, record.services);
    EXPECT_EQ(decoded.queue, record.queue);
}

TEST(RecordCodec, ReadsQueuesOfAnEarlierFormat)
{
    const auto decoded = decodeQueue(QueueId("checks"), R"({"services":["gates"]})");
    EXPECT_EQ(decoded.services, std::set<ServiceId> { ServiceId("gates") });
    EXPECT_FALSE(decoded.queue);
}

TEST(RecordCodec, ReadsCustomersOfAnEarlierFormat)
{
    const auto record = decodeCustomerRecord(R"({"id":"c","team":"t","colour":"a field of another version"})");
    EXPECT_EQ(record.id, CustomerId("c"));
    EXPECT_FALSE(record.isCancelled);
}

TEST(RecordCodec, RefusesWhatDoesNotParse) { EXPECT_THROW(decodeEscrowRecord("{\"limit\":"), Error); }

RC_GTEST_PROP(PeerCodec, TruncatedMessagesAreRefused, (const std::string& body))
{
    wire::ForwardCall call;
    call.team = "team";
    call.body = body;
    const auto bytes = encodePeer(call);
    wire::ForwardCall decoded;
    RC_ASSERT(decodePeer(bytes, decoded));
    RC_ASSERT(decoded.body == body);
    const auto length = *rc::gen::inRange<std::size_t>(0, bytes.size());
    RC_ASSERT(!decodePeer(bytes.substr(0, length), decoded));
}

RC_GTEST_PROP(PeerCodec, ArbitraryBytesDoNotCrash, (const std::string& bytes))
{
    wire::Handover handover;
    decodePeer(bytes, handover);
    wire::Heartbeat heartbeat;
    decodePeer(bytes, heartbeat);
}

} // namespace marigoldlink::testing
