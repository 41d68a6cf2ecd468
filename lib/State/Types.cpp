// Conversion of the shared types from and to text.
#include "marigoldlink/State/Types.h"

#include "marigoldlink/State/Errors.h"

#include <arpa/inet.h>
#include <charconv>

namespace marigoldlink {

Endpoint Endpoint::parse(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        throw Error(ErrorKind::InvalidSettings, "\"" + text + "\" is not an endpoint of the form a.b.c.d:port");
    Endpoint endpoint;
    endpoint.address = text.substr(0, colon);
    in_addr parsed {};
    if (inet_pton(AF_INET, endpoint.address.c_str(), &parsed) != 1)
        throw Error(ErrorKind::InvalidSettings, "\"" + endpoint.address + "\" is not an IPv4 address");
    const char* first = text.data() + colon + 1;
    const char* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(first, last, endpoint.port);
    if (error != std::errc() || end != last)
        throw Error(
            ErrorKind::InvalidSettings, "\"" + text + "\" has no valid port; expected an integer between 0 and 65535");
    return endpoint;
}

const char* name(Urgency urgency)
{
    switch (urgency) {
    case Urgency::Urgent:
        return "urgent";
    case Urgency::Normal:
        return "normal";
    case Urgency::Deferrable:
        return "deferrable";
    }
    return "normal";
}

} // namespace marigoldlink
