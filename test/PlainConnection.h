// An HTTP/1.1 connection on a plain socket, for tests that have to see each byte and the end of a connection.
#pragma once

#include "marigoldlink/State/Types.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace marigoldlink::testing {

struct PlainResponse {
    int status { 0 };
    std::string body;
    bool isLast { false }; // has "Connection: close"
};

// Blocks the calling thread, up to s_ioTimeout for each piece that is sent or received.
class PlainConnection {
public:
    static constexpr std::chrono::seconds s_ioTimeout { 20 };

    // receiveBufferBytes: size of the socket's receive buffer; 0 leaves the default
    explicit PlainConnection(const Endpoint&, int receiveBufferBytes = 0);
    ~PlainConnection();
    PlainConnection(const PlainConnection&) = delete;
    PlainConnection& operator=(const PlainConnection&) = delete;

    // False if the connection was refused.
    bool isOpen() const { return m_descriptor >= 0; }
    // Returns false if the connection ended before all bytes were handed to the kernel.
    bool send(std::string_view);
    // The next response, or nothing if the connection ended before the last byte of it.
    std::optional<PlainResponse> receive();
    // True if the server has ended the connection without a further byte.
    bool isAtEnd();

    // From now on receive() reads at most so many bytes at once and pauses after each read.
    void readSlowly(std::size_t bytes, std::chrono::milliseconds pause);

private:
    // Appends to m_received. Returns false at the end of the connection.
    bool read();

    int m_descriptor { -1 };
    std::string m_received;
    std::size_t m_readBytes { 65536 };
    std::chrono::milliseconds m_pause { 0 };
};

} // namespace marigoldlink::testing
