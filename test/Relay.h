// TCP relay in front of an entry instance that cuts off the peers of chosen data centres.
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
    // Listens at once; connections wait until the target is known.
    Relay();
    ~Relay();

    Endpoint endpoint() const { return m_endpoint; }
    void setTarget(const Endpoint& target);

    // Messages from and to peers of these data centres stop; their connections stay open.
    void cut(std::set<std::string> dataCenters);

private:
    void accept();
    void serve(int downstream);
    bool isCut(const std::string& dataCenter);

    int m_listener { -1 };
    Endpoint m_endpoint;
    std::mutex m_mutex;
    Endpoint m_target;
    std::set<std::string> m_cut;
    std::atomic<bool> m_isStopping { false };
    std::thread m_accepting;
    std::vector<std::thread> m_serving; // changed by the accepting thread alone while that runs
};

} // namespace marigoldlink::testing
