// The end of a planned stop: waits until the clients have received their answers.
#pragma once

#include "marigoldlink/Transport/ConnectionGuard.h"

#include <functional>

namespace marigoldlink {

// Time after which a draining process closes a connection without a request. A client that sends one request after the
// other sends the next one sooner, so that its request is answered and it is told to leave.
constexpr Duration drainIdleTime { 500 };

// Calls back once no connection of the drained listener is left. Clients that do not end theirs delay that by at most
// the time that the limits allow for one request and its answer. The guard must outlive the wait.
//
// The number of requests in work does not tell when a process may end: requests may be unread, incomplete or pipelined,
// and clients may not have received the last byte of their answers.
void waitForConnections(EventLoop&, const ConnectionGuard&, ListenerKind, std::function<void()> onEnded);

} // namespace marigoldlink
