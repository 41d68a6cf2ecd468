// Plain sockets on the loopback interface, for tests that see each byte and the end of a connection.
#pragma once

#include "marigoldlink/State/Types.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace marigoldlink {

// Connects a blocking socket, which the caller closes. receiveBuffer: bytes; 0 leaves the size to the kernel
inline int connectTo(const Endpoint& endpoint, int receiveBuffer = 0)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer)
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    ::inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    EXPECT_EQ(::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    return descriptor;
}

// Lets the socket listen on a port that the kernel chooses.
inline Endpoint listenOnLoopback(int descriptor)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    EXPECT_EQ(::bind(descriptor, reinterpret_cast<sockaddr*>(&address), length), 0);
    EXPECT_EQ(::listen(descriptor, 8), 0);
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    return { "127.0.0.1", ntohs(address.sin_port) };
}

} // namespace marigoldlink
