// Blocking HTTP/1.1 for the stand-ins: a server with one thread per connection, and a client connection.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <functional>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace standin {

struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // by lower-case name
    std::string body;
};

struct Response {
    int status { 200 };
    std::string body;
    bool isDropped { false }; // close the connection without a response
};

inline std::string percentDecode(const std::string& text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

inline void splitTarget(const std::string& target, Request& request)
{
    const auto question = target.find('?');
    request.path = target.substr(0, question);
    if (question == std::string::npos)
        return;
    std::size_t begin = question + 1;
    while (begin < target.size()) {
        auto end = target.find('&', begin);
        if (end == std::string::npos)
            end = target.size();
        const auto pair = target.substr(begin, end - begin);
        const auto equals = pair.find('=');
        if (equals != std::string::npos)
            request.query[pair.substr(0, equals)] = percentDecode(pair.substr(equals + 1));
        begin = end + 1;
    }
}

// Reads one message: first line, headers and body. The buffer keeps the bytes that follow it.
struct Message {
    std::string firstLine;
    std::map<std::string, std::string> headers;
    std::string body;
};

// Returns nullopt at the end of the connection, on an error, and at the deadline (in ms from now; negative: none).
inline std::optional<Message> readMessage(int descriptor, std::string& buffer, int timeoutMs)
{
    const auto receive = [&]() -> bool {
        if (timeoutMs >= 0) {
            pollfd wait { descriptor, POLLIN, 0 };
            if (::poll(&wait, 1, timeoutMs) <= 0)
                return false;
        }
        char bytes[16384];
        const auto count = ::recv(descriptor, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    };
    std::size_t headEnd;
    while ((headEnd = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!receive())
            return std::nullopt;
    }
    Message message;
    std::size_t begin = 0;
    while (begin < headEnd) {
        auto end = std::min(buffer.find("\r\n", begin), headEnd);
        const auto line = buffer.substr(begin, end - begin);
        if (!begin) {
            message.firstLine = line;
        } else if (const auto colon = line.find(':'); colon != std::string::npos) {
            auto name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.headers[name] = value == std::string::npos ? "" : line.substr(value);
        }
        begin = end + 2;
    }
    std::size_t length = 0;
    if (const auto found = message.headers.find("content-length"); found != message.headers.end())
        length = std::stoul(found->second);
    while (buffer.size() < headEnd + 4 + length) {
        if (!receive())
            return std::nullopt;
    }
    message.body = buffer.substr(headEnd + 4, length);
    buffer.erase(0, headEnd + 4 + length);
    return message;
}

inline bool sendAll(int descriptor, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline void setNoDelay(int descriptor)
{
    const int enabled = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

inline sockaddr_in loopback(int port, in_addr_t address = INADDR_LOOPBACK)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    result.sin_addr.s_addr = htonl(address);
    return result;
}

// The loopback address of the processes under test. It is one of its own for each process that starts them, so that two
// scripts can run at once.
inline in_addr_t nodeAddress() { return (127U << 24) | ((64U << 16) + (static_cast<unsigned>(::getpid()) & 0x3fffff)); }

inline std::string nodeAddressText()
{
    const in_addr address { htonl(nodeAddress()) };
    char text[INET_ADDRSTRLEN];
    return ::inet_ntop(AF_INET, &address, text, sizeof(text));
}

// Listens on a free loopback port and serves each connection on a thread of its own, until the process ends.
class Server {
public:
    using Handler = std::function<Response(const Request&)>;

    explicit Server(Handler handler)
        : m_handler(std::move(handler))
    {
        m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = loopback(0);
        socklen_t length = sizeof(address);
        if (::bind(m_descriptor, reinterpret_cast<sockaddr*>(&address), length) || ::listen(m_descriptor, 1024)
            || ::getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address), &length))
            throw std::runtime_error("cannot listen");
        m_port = ntohs(address.sin_port);
        std::thread([this] { accept(); }).detach();
    }

    int port() const { return m_port; }

private:
    void accept()
    {
        while (true) {
            const int connection = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0)
                continue;
            setNoDelay(connection);
            std::thread([this, connection] { serve(connection); }).detach();
        }
    }

    void serve(int connection)
    {
        std::string buffer;
        while (const auto message = readMessage(connection, buffer, -1)) {
            Request request;
            const auto first = message->firstLine.find(' ');
            const auto second = message->firstLine.find(' ', first + 1);
            request.method = message->firstLine.substr(0, first);
            splitTarget(message->firstLine.substr(first + 1, second - first - 1), request);
            request.headers = message->headers;
            request.body = message->body;
            const auto response = m_handler(request);
            if (response.isDropped
                || !sendAll(connection,
                    "HTTP/1.1 " + std::to_string(response.status)
                        + " X\r\ncontent-type: application/json\r\ncontent-length: "
                        + std::to_string(response.body.size()) + "\r\n\r\n" + response.body))
                break;
        }
        ::close(connection);
    }

    Handler m_handler;
    int m_descriptor { -1 };
    int m_port { 0 };
};

// A client's connection to a process under test, kept open between requests.
class Connection {
public:
    explicit Connection(int port)
        : m_port(port)
    {
    }
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    // Sends a request. Returns false if that is not possible.
    bool send(const std::string& method, const std::string& path, const std::string& headers, const std::string& body)
    {
        if (m_descriptor < 0) {
            m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const auto address = loopback(m_port, nodeAddress());
            if (::connect(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address))) {
                close();
                return false;
            }
            setNoDelay(m_descriptor);
        }
        if (sendAll(m_descriptor,
                method + " " + path + " HTTP/1.1\r\n" + headers + "content-length: " + std::to_string(body.size())
                    + "\r\n\r\n" + body))
            return true;
        close();
        return false;
    }

    // Status 0: no response within the time, or the connection ended.
    Response receive(int timeoutMs)
    {
        const auto message = m_descriptor < 0 ? std::nullopt : readMessage(m_descriptor, m_buffer, timeoutMs);
        if (!message) {
            close();
            return { 0, "", true };
        }
        return { std::stoi(message->firstLine.substr(message->firstLine.find(' ') + 1)), message->body, false };
    }

private:
    void close()
    {
        if (m_descriptor >= 0)
            ::close(m_descriptor);
        m_descriptor = -1;
        m_buffer.clear();
    }

    int m_port;
    int m_descriptor { -1 };
    std::string m_buffer;
};

// A free port of the processes' address, outside of the range that outgoing connections use.
inline int freePort()
{
    static int next = 20000;
    while (true) {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = loopback(++next, nodeAddress());
        const bool isFree = !::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
        ::close(descriptor);
        if (isFree || next > 30000)
            return next;
    }
}

} // namespace standin
