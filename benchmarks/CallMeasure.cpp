// Measures the processor time of a coordinator's calls: one client with an open long poll to each worker, and start
// orders to all of them in turn.
#include "Measures.h"
#include "WorkerCalls.h"

#include <ctime>
#include <iomanip>
#include <iostream>
#include <thread>

namespace marigoldlink::benchmarks {

namespace {

    using platform::WorkerCalls;

    constexpr int s_startsAtOnce = 16;
    constexpr int s_startsPerPoll = 2;
    constexpr Duration s_measureTime { 2000 };
    constexpr Duration s_warmUp { 3000 }; // all connections are established

    double threadCpuSeconds()
    {
        timespec time {};
        ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
    }

    // Workers on one thread. Each loopback address is one worker. A poll is answered by the next start on its address.
    class LoopbackWorkers {
    public:
        LoopbackWorkers()
            : m_thread([this] { serve(); })
        {
            while (!m_port)
                std::this_thread::yield();
        }

        ~LoopbackWorkers()
        {
            m_isStopping = true;
            m_thread.join();
        }

        Endpoint endpoint(int worker) const
        {
            return { "127.1." + std::to_string(worker / 250) + '.' + std::to_string(1 + worker % 250), m_port };
        }

    private:
        void serve()
        {
            EventLoop loop;
            HttpServer server(loop, {}, [this](const HttpRequest& request, const HttpResponderPtr& responder) {
                const std::string host(request.authority);
                if (request.path.find("hold") != std::string_view::npos) {
                    m_polls[host] = { responder, 0 };
                    return;
                }
                responder->send({ 200, R"({"clock_ms":482113})", "application/json", {} });
                auto& [poll, starts] = m_polls[host];
                if (poll && ++starts >= s_startsPerPoll)
                    std::exchange(poll, {})->send({ 200,
                        R"({"clock_ms":482113,"born":1700000000000,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41,3]],)"
                        R"("ended_runs":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"5c0e7a21d94b36f8.0.1.8",1,"done",""]]})",
                        "application/json", {} });
            });
            m_port = server.listen({ "0.0.0.0", 0 }).port;
            loop.every(Duration(20), [this, &loop] {
                if (m_isStopping)
                    loop.stop();
            });
            loop.run();
            m_polls.clear();
        }

        std::map<std::string, std::pair<HttpResponderPtr, int>> m_polls; // the open poll, by address
        std::atomic<std::uint16_t> m_port { 0 };
        std::atomic<bool> m_isStopping { false };
        std::thread m_thread;
    };

    // Runs polls and starts, and counts the answered calls.
    class CallLoad {
    public:
        CallLoad(EventLoop& loop, const LoopbackWorkers& workers, int count)
            : m_loop(loop)
            , m_client(loop)
            , m_calls(m_client)
        {
            for (int i = 0; i < count; ++i)
                m_endpoints.push_back(workers.endpoint(i));
            for (int i = 0; i < count; ++i)
                poll(i);
            for (int i = 0; i < s_startsAtOnce; ++i)
                start();
        }

        void runFor(Duration time)
        {
            bool isOver = false;
            m_loop.after(time, [&isOver] { isOver = true; });
            m_loop.runUntil([&isOver] { return isOver; });
        }

        int answered() const { return m_answered; }

    private:
        void poll(int worker)
        {
            const auto& endpoint = m_endpoints[static_cast<std::size_t>(worker)];
            const PollOrder order { { WorkerId("worker"), 0 }, endpoint, WorkerFence(7), 486000, 57, Duration(2000) };
            m_calls.poll(order, [this, worker](const PollAnswer& answer) {
                m_answered += answer.status == PollAnswer::Status::Answered;
                poll(worker);
            });
        }

        void start()
        {
            m_next = (m_next + 1) % static_cast<int>(m_endpoints.size());
            StartOrder order;
            order.worker = { WorkerId("worker"), 0 };
            order.endpoint = m_endpoints[static_cast<std::size_t>(m_next)];
            order.task = { JobId("5c0e7a21d94b36f8"), 0, 1, 17 };
            order.fence = WorkerFence(7);
            order.run = RunNumber(2);
            order.payload = std::string(300, 'x');
            order.deadlineMs = 486000;
            m_calls.start(order, [this](StartAnswer answer, std::int64_t) {
                m_answered += answer == StartAnswer::Started;
                start();
            });
        }

        EventLoop& m_loop;
        HttpClient m_client;
        WorkerCalls m_calls;
        std::vector<Endpoint> m_endpoints;
        int m_next { 0 };
        int m_answered { 0 };
    };

} // namespace

void measureCalls()
{
    std::cout << "workers   calls/s   cpu us a call\n";
    for (const int count : { 10, 49, 350, 1100, 3300 }) {
        LoopbackWorkers workers;
        EventLoop loop;
        CallLoad load(loop, workers, count);
        load.runFor(s_warmUp);
        const auto before = load.answered();
        const auto cpu = threadCpuSeconds();
        load.runFor(s_measureTime);
        const auto calls = load.answered() - before;
        std::cout << std::left << std::setw(10) << count << std::setw(10)
                  << calls * 1000 / static_cast<int>(s_measureTime.count()) << std::fixed << std::setprecision(1)
                  << (threadCpuSeconds() - cpu) * 1e6 / std::max(1, calls) << std::endl;
    }
}

} // namespace marigoldlink::benchmarks
