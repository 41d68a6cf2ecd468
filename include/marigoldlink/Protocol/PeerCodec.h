// Thrift compact encoding of the messages between entry instances.
#pragma once

#include <string>

namespace marigoldlink {

// Instantiated for the generated structs of idl/*.thrift.
template <typename Message> std::string encodePeer(const Message&);

// Returns false unless the bytes are exactly one complete message.
template <typename Message> bool decodePeer(const std::string& bytes, Message&);

} // namespace marigoldlink
