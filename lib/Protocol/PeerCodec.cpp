// Thrift compact encoding over a memory buffer.
#include "marigoldlink/Protocol/PeerCodec.h"

#include "marigoldlink/Protocol/Generated/Fleet_types.h"
#include "marigoldlink/Protocol/Generated/Peer_types.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace marigoldlink {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

template <typename Message> std::string encodePeer(const Message& message)
{
    auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocol protocol(buffer);
    message.write(&protocol);
    return buffer->getBufferAsString();
}

template <typename Message> bool decodePeer(const std::string& bytes, Message& message)
{
    auto buffer = std::make_shared<TMemoryBuffer>();
    buffer->write(reinterpret_cast<const std::uint8_t*>(bytes.data()), static_cast<std::uint32_t>(bytes.size()));
    TCompactProtocol protocol(buffer);
    try {
        message.read(&protocol);
    } catch (const std::exception&) {
        // Thrift throws several unrelated exception types on malformed input. All mean that the message is invalid.
        return false;
    }
    return buffer->available_read() == 0;
}

#define MARIGOLD_PEER_MESSAGE(Type)                                                                                    \
    template std::string encodePeer(const wire::Type&);                                                                \
    template bool decodePeer(const std::string&, wire::Type&);

MARIGOLD_PEER_MESSAGE(FleetCall)
MARIGOLD_PEER_MESSAGE(FleetReply)
MARIGOLD_PEER_MESSAGE(FleetState)
MARIGOLD_PEER_MESSAGE(FleetStateCall)
MARIGOLD_PEER_MESSAGE(Heartbeat)
MARIGOLD_PEER_MESSAGE(ConfigRequest)
MARIGOLD_PEER_MESSAGE(ConfigReply)
MARIGOLD_PEER_MESSAGE(MembersReply)
MARIGOLD_PEER_MESSAGE(ClaimCall)
MARIGOLD_PEER_MESSAGE(ClaimReply)
MARIGOLD_PEER_MESSAGE(ClaimEnd)
MARIGOLD_PEER_MESSAGE(Handover)
MARIGOLD_PEER_MESSAGE(OutcomeCall)
MARIGOLD_PEER_MESSAGE(OutcomeReply)
MARIGOLD_PEER_MESSAGE(ForwardCall)
MARIGOLD_PEER_MESSAGE(ForwardCancel)
MARIGOLD_PEER_MESSAGE(ForwardReply)

#undef MARIGOLD_PEER_MESSAGE

} // namespace marigoldlink
