// Implements the relay with blocking sockets, one thread for each connection.
#include "Relay.h"

#include <arpa/inet.h>
#include <cstring>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace marigoldlink::testing {

namespace {

    constexpr int s_pollMilliseconds = 20;
    constexpr std::string_view s_dataCenterHeader = "x-data-center: ";

    // The data centre of the sending peer, which each peer message names in an HTTP header. Empty if there is none.
    std::string senderDataCenter(std::string_view head)
    {
        const auto begin = head.find(s_dataCenterHeader);
        if (begin == std::string_view::npos)
            return {};
        const auto rest = head.substr(begin + s_dataCenterHeader.size());
        return std::string(rest.substr(0, rest.find('\r')));
    }

    bool sendAll(int descriptor, const char* bytes, ssize_t size)
    {
        while (size > 0) {
            const auto written = ::send(descriptor, bytes, static_cast<std::size_t>(size), MSG_NOSIGNAL);
            if (written <= 0)
                return false;
            bytes += written;
            size -= written;
        }
        return true;
    }

} // namespace

Relay::Relay()
{
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    ::bind(m_listener, reinterpret_cast<sockaddr*>(&address), length);
    ::listen(m_listener, 256);
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length);
    m_endpoint = { "127.0.0.1", ntohs(address.sin_port) };
    m_acceptThread = std::thread([this] { accept(); });
}

Relay::~Relay()
{
    m_isStopping = true;
    m_acceptThread.join();
    for (auto& thread : m_connectionThreads)
        thread.join();
    ::close(m_listener);
}

void Relay::setTarget(const Endpoint& target)
{
    const std::lock_guard lock(m_mutex);
    m_target = target;
}

void Relay::setPartitionedDataCenters(std::set<std::string> dataCenters)
{
    const std::lock_guard lock(m_mutex);
    m_partitionedDataCenters = std::move(dataCenters);
}

bool Relay::isPartitioned(const std::string& dataCenter)
{
    const std::lock_guard lock(m_mutex);
    return m_partitionedDataCenters.contains(dataCenter);
}

void Relay::accept()
{
    while (!m_isStopping) {
        pollfd listener { m_listener, POLLIN, 0 };
        if (::poll(&listener, 1, s_pollMilliseconds) <= 0)
            continue;
        const int downstream = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (downstream >= 0)
            m_connectionThreads.emplace_back([this, downstream] { serve(downstream); });
    }
}

void Relay::serve(int downstream)
{
    const int closings = m_closings;
    Endpoint target;
    {
        const std::lock_guard lock(m_mutex);
        target = m_target;
    }
    const int upstream = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(target.port);
    ::inet_pton(AF_INET, target.address.c_str(), &address.sin_addr);
    bool isOpen = ::connect(upstream, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    std::string sender;
    std::vector<char> buffer(65536);
    while (isOpen && !m_isStopping && m_closings == closings) {
        if (isPartitioned(sender)) {
            ::usleep(s_pollMilliseconds * 1000);
            continue;
        }
        pollfd sockets[] { { downstream, POLLIN, 0 }, { upstream, POLLIN, 0 } };
        if (::poll(sockets, 2, s_pollMilliseconds) <= 0)
            continue;
        for (const auto& ready : sockets) {
            if (!ready.revents || !isOpen)
                continue;
            const auto size = ::recv(ready.fd, buffer.data(), buffer.size(), 0);
            if (ready.fd == downstream && size > 0 && sender.empty())
                sender = senderDataCenter({ buffer.data(), static_cast<std::size_t>(size) });
            // Hold back the first message too: the sender is known only once it has been read.
            while (isPartitioned(sender) && !m_isStopping)
                ::usleep(s_pollMilliseconds * 1000);
            isOpen = size > 0 && sendAll(ready.fd == downstream ? upstream : downstream, buffer.data(), size);
        }
    }
    ::close(upstream);
    ::close(downstream);
}

} // namespace marigoldlink::testing
