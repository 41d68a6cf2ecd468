// Open-loop load generator for entry instances. Compares the responses with the records of the workers.
#pragma once

#include "marigoldlink/Transport/HttpClient.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace marigoldlink {

// Stream of requests to one queue.
struct Flow {
    std::string queue;
    std::string key;
    double rate { 1 }; // requests a second
    std::int64_t workMs { 1 };
    std::int64_t deadlineMs { 10000 };
    bool isIdempotent { false };

    // Reads "queue=Q,key=K,rate=R,work_ms=W,deadline_ms=D,idempotent=true". Throws std::runtime_error.
    static Flow parse(const std::string& text);
};

struct FlowResult {
    std::size_t sent { 0 };
    std::size_t answered { 0 };
    std::size_t unknown { 0 };
    std::size_t mismatched { 0 }; // responses that belong to another request
    std::map<std::string, std::size_t> refused; // by error; all were reported as "not run"
    std::vector<std::int64_t> waitMs; // time from request to response, minus the run time
};

// Result of the comparison with the records of the workers.
struct Verdict {
    std::size_t duplicateRuns { 0 }; // non-idempotent ids that ran more than once
    std::size_t falselyRefused { 0 }; // ids refused as "not run" that did run
    std::size_t lost { 0 }; // answered ids that are in no record
    // Workers whose record could not be read. Answered ids that ran there count as lost.
    std::size_t unreadWorkers { 0 };
    std::vector<std::string> examples;
};

class Load {
public:
    struct Options {
        std::vector<Endpoint> entries;
        std::vector<Flow> flows;
        std::vector<Endpoint> workers; // their records are read after the run
        Duration time { 5000 };
        std::uint64_t seed { 1 };
        std::string prefix; // prefix of each request id
        bool isRetrying { false }; // retries at a random entry instance under the same id
    };

    Load(EventLoop&, Options);

    // Runs until every request has its final response, then reads the records of the workers.
    void run();

    std::string report() const;
    bool isClean() const;

private:
    enum class Outcome { Open, Answered, NotRun, Unknown };

    struct Request {
        std::size_t flow { 0 };
        std::string id;
        TimePoint sentAt;
        Outcome outcome { Outcome::Open };
        int tries { 0 };
    };

    void scheduleNext(std::size_t flow);
    void send(std::size_t request);
    void handleResponse(std::size_t request, const HttpResult&);
    bool scheduleRetry(std::size_t request);
    // Number of runs of each id, from the records of the workers.
    using Runs = std::map<std::string, std::size_t>;
    void fetchRecords();
    void fetchRecord(const Endpoint& worker, std::shared_ptr<Runs>, int triesLeft);
    void checkAgainstRecords(const Runs& runs);

    EventLoop& m_loop;
    HttpClient m_client;
    Options m_options;
    std::mt19937_64 m_random;
    TimePoint m_end;
    std::vector<Request> m_requests;
    std::vector<FlowResult> m_results;
    Verdict m_verdict;
    std::size_t m_open { 0 };
    std::size_t m_unreadRecords { 0 };
};

} // namespace marigoldlink
