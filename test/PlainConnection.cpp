// Blocking sockets.
#include "PlainConnection.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace marigoldlink::testing {

namespace {

    constexpr std::string_view s_headEnd = "\r\n\r\n";
    constexpr std::string_view s_lengthField = "\r\ncontent-length: ";
    constexpr std::string_view s_closeField = "\r\nconnection: close\r\n";

    std::string lowerCase(std::string_view text)
    {
        std::string lower(text);
        std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return std::tolower(c); });
        return lower;
    }

} // namespace

PlainConnection::PlainConnection(const Endpoint& endpoint, int receiveBufferBytes)
    : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const timeval time { s_ioTimeout.count(), 0 };
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
    const int isOn = 1;
    ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof(isOn));
    if (receiveBufferBytes > 0)
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    ::inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    if (::connect(m_descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(m_descriptor);
        m_descriptor = -1;
    }
}

PlainConnection::~PlainConnection()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

bool PlainConnection::send(std::string_view text)
{
    while (!text.empty()) {
        const auto sent = ::send(m_descriptor, text.data(), text.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        text.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

void PlainConnection::readSlowly(std::size_t bytes, std::chrono::milliseconds pause)
{
    m_readBytes = bytes;
    m_pause = pause;
}

bool PlainConnection::read()
{
    std::string piece(m_readBytes, '\0');
    const auto received = ::recv(m_descriptor, piece.data(), piece.size(), 0);
    if (received <= 0)
        return false;
    m_received.append(piece, 0, static_cast<std::size_t>(received));
    std::this_thread::sleep_for(m_pause);
    return true;
}

std::optional<PlainResponse> PlainConnection::receive()
{
    std::size_t headEnd = std::string::npos;
    while ((headEnd = m_received.find(s_headEnd)) == std::string::npos) {
        if (!read())
            return std::nullopt;
    }
    const auto head = lowerCase(std::string_view(m_received).substr(0, headEnd + s_headEnd.size()));
    const auto length = head.find(s_lengthField);
    if (!head.starts_with("http/1.1 ") || length == std::string::npos)
        throw std::runtime_error("not a response with a content-length:\n" + head);
    const auto bodyBytes = std::stoul(head.substr(length + s_lengthField.size()));
    while (m_received.size() < head.size() + bodyBytes) {
        if (!read())
            return std::nullopt;
    }
    PlainResponse response { std::stoi(head.substr(std::string_view("http/1.1 ").size())),
        m_received.substr(head.size(), bodyBytes), head.find(s_closeField) != std::string::npos };
    m_received.erase(0, head.size() + bodyBytes);
    return response;
}

bool PlainConnection::isAtEnd() { return m_received.empty() && !read(); }

} // namespace marigoldlink::testing
