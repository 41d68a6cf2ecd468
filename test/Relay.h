// TCP relay in front of an entry instance that simulates a network partition from chosen data centres.
#pragma once

#include "marigoldlink/State/Types.h"

#include <atomic>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace marigoldlink::testing {

class Relay {
public:
    // Listens immediately on a free loopback port. A connection accepted before setTarget() is closed.
    Relay();
    ~Relay();

    Endpoint endpoint() const { return m_endpoint; }
    void setTarget(const Endpoint& target);

    // Replaces the set of partitioned data centres. Connections from peers there stay open, but forward nothing in
    // either direction.
    void setPartitionedDataCenters(std::set<std::string> dataCenters);

    // Closes the connections that are open now. Later ones are relayed.
    void closeConnections() { ++m_closings; }

private:
    void accept();
    void serve(int downstream);
    bool isPartitioned(const std::string& dataCenter);

    int m_listener { -1 };
    Endpoint m_endpoint;
    std::mutex m_mutex;
    Endpoint m_target;
    std::set<std::string> m_partitionedDataCenters;
    std::atomic<bool> m_isStopping { false };
    std::atomic<int> m_closings { 0 }; // a connection ends once this has grown since its start
    std::thread m_acceptThread;
    std::vector<std::thread> m_connectionThreads; // modified only by the accept thread while it runs
};

} // namespace marigoldlink::testing
