// Connections, clients and checks of the tests of planned stops.
#include "StopClients.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <iostream>

namespace marigoldlink::testing {

namespace {

    constexpr Milliseconds s_poll { 20 };
    // Longer than any answer takes: calls end at the caller's deadline.
    constexpr Milliseconds s_answerTime { 8000 };
    constexpr Milliseconds s_servedTime { 10000 };
    constexpr Milliseconds s_inquiryTime { 15000 };
    constexpr std::size_t s_answersBeforeStop { 3 };
    constexpr std::size_t s_printedLosses { 12 };
    constexpr int s_sendBuffer { 200000 };

    std::string newJob()
    {
        static std::atomic<unsigned> number { 0 };
        char text[17];
        std::snprintf(text, sizeof(text), "%016x", ++number);
        return text;
    }

    const char* text(KeptConnection::State state)
    {
        switch (state) {
        case KeptConnection::State::Closed:
            return "closed";
        case KeptConnection::State::Reset:
            return "reset";
        default:
            return "no answer in time";
        }
    }

    // Whether the coordinator knows the job. Its answer is awaited.
    bool isKnown(const NodeCluster& cluster, const std::string& job, NodeIndex reader)
    {
        const auto until = NodeCluster::now() + s_inquiryTime;
        while (NodeCluster::now() < until) {
            Caller caller(cluster.node(reader), "key-1");
            const auto status = caller.call("GET", "/q/" + job).status;
            if (status == 200 || status == 410)
                return status == 200;
            standin::sleepMs(s_poll.count());
        }
        ADD_FAILURE() << "no coordinator tells whether job " << job << " is known";
        return true;
    }

    ClientRequest drawRequest(const ClientBehaviour& behaviour, std::mt19937& generator)
    {
        const auto kind = draw(generator, 0, static_cast<int>(behaviour.kinds.size()) - 1);
        return ClientRequest::of(behaviour.kinds[static_cast<std::size_t>(kind)]);
    }

} // namespace

ClientRequest ClientRequest::of(RequestKind kind)
{
    static const std::string job = R"({"spec":"{\"steps\":[{\"ms\":20}]}",)"
                                   R"("steps":[{"count":1,"cpu":10,"mem_mb":1,"est_ms":20}]})";
    const auto id = newJob();
    switch (kind) {
    case RequestKind::Submit:
        return { "POST", "/q/" + id, job, id };
    case RequestKind::Read:
        return { "GET", "/q/" + id, "", "" };
    case RequestKind::Waiting:
        return { "GET", "/q/", "", "" };
    case RequestKind::Cancel:
        break;
    }
    return { "DELETE", "/q/" + id, "", "" };
}

std::string ClientRequest::text() const
{
    return method + " " + path + " HTTP/1.1\r\nhost: jobs.example\r\ncredential: key-1\r\ndeadline-ms: "
        + std::to_string(deadline.count()) + "\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

KeptConnection::KeptConnection(const NodeCluster& cluster, NodeIndex node, int receiveBuffer)
    : m_node(node)
    , m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    if (receiveBuffer)
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_SNDBUF, &s_sendBuffer, sizeof(s_sendBuffer));
    const auto address = standin::loopback(cluster.node(node).front, standin::nodeAddress());
    if (::connect(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)))
        end(State::Reset);
    else
        standin::setNoDelay(m_descriptor);
}

bool KeptConnection::sendBytes(const std::string& bytes)
{
    // What has arrived can still be read if the connection has ended.
    return isOpen() && standin::sendAll(m_descriptor, bytes);
}

bool KeptConnection::send(const std::vector<ClientRequest>& requests)
{
    std::string bytes;
    for (const auto& request : requests)
        bytes += request.text();
    if (!sendBytes(bytes))
        return false;
    const auto now = NodeCluster::now();
    for (const auto& request : requests)
        m_requests.push_back({ m_node, request.method + " " + request.path, request.job, now });
    return true;
}

bool KeptConnection::begin(const ClientRequest& request, std::size_t bytes)
{
    const auto all = request.text();
    m_unsent = all.substr(bytes);
    m_requests.push_back({ m_node, request.method + " " + request.path, request.job, std::nullopt });
    return sendBytes(all.substr(0, bytes));
}

bool KeptConnection::finish()
{
    if (!sendBytes(std::exchange(m_unsent, {})))
        return false;
    m_requests.back().sentAt = NodeCluster::now();
    return true;
}

std::optional<CallerResponse> KeptConnection::receive(Milliseconds until, std::size_t bytes)
{
    std::string chunk(bytes, '\0');
    while (true) {
        // Reads from the buffer only.
        if (const auto message = standin::readMessage(-1, m_buffer, 0)) {
            CallerResponse response { std::stoi(message->firstLine.substr(message->firstLine.find(' ') + 1)),
                message->headers, message->body };
            const auto connection = response.headers.find("connection");
            m_isToldToClose |= connection != response.headers.end() && connection->second == "close";
            if (m_answered < m_requests.size()) {
                auto& request = m_requests[m_answered++];
                request.status = response.status;
                request.endedAt = NodeCluster::now();
            }
            return response;
        }
        const auto wait = std::max(until - NodeCluster::now(), Milliseconds(0));
        pollfd readable { m_descriptor, POLLIN, 0 };
        if (!isOpen() || ::poll(&readable, 1, static_cast<int>(wait.count())) <= 0)
            return std::nullopt;
        const auto count = ::recv(m_descriptor, chunk.data(), chunk.size(), 0);
        if (count > 0)
            m_buffer.append(chunk, 0, static_cast<std::size_t>(count));
        else
            end(count ? State::Reset : State::Closed);
    }
}

void KeptConnection::end(State state)
{
    if (!isOpen())
        return;
    m_state = state;
    ::close(std::exchange(m_descriptor, -1));
    for (auto i = m_answered; i < m_requests.size(); ++i) {
        m_requests[i].endedAt = NodeCluster::now();
        m_requests[i].end = text(state);
    }
}

const std::vector<RequestRecord>& KeptConnection::finished()
{
    end(State::Left);
    return m_requests;
}

std::size_t ClientReport::unanswered() const
{
    return static_cast<std::size_t>(std::count_if(requests.begin(), requests.end(),
        [](const RequestRecord& request) { return request.sentAt && !request.status; }));
}

void StopClients::add(
    std::size_t count, const ClientBehaviour& behaviour, const std::vector<NodeIndex>& nodes, std::uint32_t seed)
{
    for (std::size_t i = 0; i < count; ++i) {
        auto& client = m_clients.emplace_back();
        std::mt19937 generator(seed * 1000 + static_cast<std::uint32_t>(m_clients.size()));
        client.thread = std::jthread([this, &client, behaviour, nodes, generator](const std::stop_token& stop) {
            run(client, behaviour, nodes, generator, stop);
        });
    }
}

void StopClients::awaitServed() const
{
    const auto until = NodeCluster::now() + s_servedTime;
    for (const auto& client : m_clients) {
        while (client.answers < s_answersBeforeStop) {
            if (NodeCluster::now() >= until)
                throw std::runtime_error("a client was not served before the stop");
            standin::sleepMs(s_poll.count());
        }
    }
}

void StopClients::requestStop()
{
    for (auto& client : m_clients)
        client.thread.request_stop();
}

ClientReport StopClients::join()
{
    ClientReport all;
    for (auto& client : m_clients) {
        client.thread.join();
        const auto& requests = client.report.requests;
        all.requests.insert(all.requests.end(), requests.begin(), requests.end());
        all.connections += client.report.connections;
        all.untold += client.report.untold;
        all.partlyAnswered += client.report.partlyAnswered;
    }
    return all;
}

void StopClients::run(Client& client, const ClientBehaviour& behaviour, const std::vector<NodeIndex>& nodes,
    std::mt19937 generator, const std::stop_token& stop)
{
    std::optional<NodeIndex> left;
    while (!stop.stop_requested()) {
        const auto node = nodes[static_cast<std::size_t>(draw(generator, 0, static_cast<int>(nodes.size()) - 1))];
        if (nodes.size() > 1 && left == node)
            continue;
        KeptConnection connection(m_cluster, node);
        if (!connection.isOpen()) {
            if (nodes.size() == 1)
                return;
            standin::sleepMs(s_poll.count());
            continue;
        }
        bool goesOn = true;
        while (goesOn && !stop.stop_requested()) {
            goesOn = exchange(client, behaviour, connection, generator, stop) && behaviour.keepsConnection
                && (!connection.isToldToClose() || behaviour.onClose == ClientBehaviour::OnClose::Ignore);
            standin::sleepMs(draw(generator, 0, static_cast<int>(behaviour.maxPause.count())));
        }
        auto& report = client.report;
        ++report.connections;
        const auto& requests = connection.finished();
        report.requests.insert(report.requests.end(), requests.begin(), requests.end());
        report.untold += !connection.isToldToClose() && connection.state() != KeptConnection::State::Left;
        if (connection.isToldToClose() && behaviour.onClose == ClientBehaviour::OnClose::Leave) {
            if (nodes.size() == 1)
                return;
            left = node;
        }
    }
}

bool StopClients::exchange(Client& client, const ClientBehaviour& behaviour, KeptConnection& connection,
    std::mt19937& generator, const std::stop_token& stop)
{
    std::vector<ClientRequest> requests;
    for (std::size_t i = 0; i < behaviour.depth; ++i)
        requests.push_back(drawRequest(behaviour, generator));
    if (behaviour.sendsSlowly) {
        const auto size = static_cast<int>(requests.front().text().size());
        connection.begin(requests.front(), static_cast<std::size_t>(draw(generator, 1, size - 1)));
        standin::sleepMs(draw(generator, 1, 1500));
        connection.finish();
        requests.resize(1);
    } else if (!connection.send(requests)) {
        connection.receive(NodeCluster::now()); // notes how the connection ended
        return false;
    }
    std::size_t answered = 0;
    std::size_t sent = requests.size();
    while (answered < sent && connection.receive(NodeCluster::now() + s_answerTime)) {
        ++answered;
        ++client.answers;
        const bool goesOn = !connection.isToldToClose() || behaviour.onClose == ClientBehaviour::OnClose::Ignore;
        if (behaviour.refills && goesOn && !stop.stop_requested()
            && connection.send({ drawRequest(behaviour, generator) }))
            ++sent;
    }
    client.report.partlyAnswered += answered && answered < sent;
    return answered == sent;
}

void expectNoLoss(const NodeCluster& cluster, const std::vector<RequestRecord>& requests, NodeIndex reader)
{
    const auto started = cluster.startedJobs();
    std::size_t unanswered = 0;
    std::size_t lost = 0;
    std::string losses;
    for (const auto& request : requests) {
        if (!request.sentAt || (request.status && !request.isRejection()))
            continue;
        const bool isTakenUp
            = !request.job.empty() && (started.contains(request.job) || isKnown(cluster, request.job, reader));
        if (request.isRejection()) {
            EXPECT_FALSE(isTakenUp) << request.name << " was answered with " << request.status << " and taken up";
            continue;
        }
        ++unanswered;
        const auto time = request.endedAt - *request.sentAt;
        if ((!isTakenUp && time <= s_lossSlack) || ++lost > s_printedLosses)
            continue;
        losses += request.name + " at " + cluster.node(request.node).name + ", sent at "
            + cluster.sinceTermination(request.node, *request.sentAt) + ": " + request.end + " after "
            + std::to_string(time.count()) + " ms" + (isTakenUp ? ", its job was taken up\n" : "\n");
    }
    std::cout << requests.size() << " requests, " << unanswered << " without an answer, " << lost << " lost\n";
    EXPECT_EQ(lost, 0U) << losses;
}

void expectCleanExit(NodeCluster& cluster, NodeIndex node, Milliseconds terminatedAt)
{
    const auto status = cluster.awaitExit(node, terminatedAt + s_gracePeriod);
    EXPECT_TRUE(status) << cluster.node(node).name << " runs after the grace period";
    EXPECT_EQ(status.value_or(0), 0) << cluster.node(node).name << " has ended with this wait status";
    std::cout << cluster.stopLogOf(node);
}

} // namespace marigoldlink::testing
