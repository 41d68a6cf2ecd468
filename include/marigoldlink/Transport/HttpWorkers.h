// Worker adapter for leases and tasks, over HTTP with JSON.
#pragma once

#include "marigoldlink/Protocol/Adapters.h"
#include "marigoldlink/Transport/HttpClient.h"

namespace marigoldlink {

class HttpWorkers {
public:
    explicit HttpWorkers(HttpClient&);

    void openLease(const Endpoint&, HolderId, Duration ttl, LeaseCallback);
    void renewLease(const Endpoint&, const LeaseId&, Duration ttl, LeaseCallback);
    void start(const Endpoint&, const TaskStart&, TaskCallback);
    void stop(const Endpoint&, const TaskId&, StopCallback);
    void checkpoint(const Endpoint&, const TaskId&, StopCallback);
    void queryHolder(const Endpoint&, HolderId, HolderCallback);
    void reboot(const Endpoint&, std::function<void(bool)>);

private:
    void sendLeaseCall(const Endpoint&, std::string target, LeaseCallback);
    void sendStopCall(const Endpoint&, std::string target, StopCallback);

    HttpClient& m_client;
};

static_assert(WorkerAdapter<HttpWorkers>);

} // namespace marigoldlink
