// Platform adapter for the key-value service and the instance list, over HTTP with JSON.
#pragma once

#include "marigoldlink/Protocol/Adapters.h"
#include "marigoldlink/Transport/HttpClient.h"

namespace marigoldlink {

class HttpPlatform {
public:
    HttpPlatform(HttpClient&, Endpoint);

    void read(const std::string& key, ReadCallback);
    void write(const std::string& key, const std::string& value, Revision expected, WriteCallback);
    void range(const std::string& prefix, RangeCallback);
    void watch(const std::string& prefix, Revision after, RangeCallback);
    void instances(InstanceListCallback);

private:
    void fetchRange(std::string target, Duration timeout, RangeCallback);

    HttpClient& m_client;
    Endpoint m_endpoint;
    // Last instance list and its entity tag. The platform resends the list only if it has changed.
    std::string m_instancesTag;
    std::vector<ListedInstance> m_instances;
};

static_assert(PlatformAdapter<HttpPlatform>);

} // namespace marigoldlink
