// The single event loop of a process: sockets, timers and stop requests, all on one thread.
#pragma once

#include "marigoldlink/State/Types.h"

#include <functional>
#include <map>

struct st_h2o_evloop_t;

namespace marigoldlink {

class EventLoop {
public:
    using Callback = std::function<void()>;

    EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    // Monotonic time of this process, in milliseconds.
    TimePoint now() const;

    // Runs the callback once after the delay.
    void after(Duration delay, Callback);

    // Runs the callback again and again with the period between two runs, until the loop ends.
    void every(Duration period, Callback);

    // Runs the loop until stop() is called.
    void run();
    // Runs the loop until the condition holds, which is checked after each turn.
    void runUntil(const std::function<bool()>& condition);
    void stop() { m_stopped = true; }

    // Calls the callback on the loop when SIGTERM or SIGINT arrives.
    void onTerminate(Callback);

    st_h2o_evloop_t* native() { return m_native; }

private:
    void turn();
    void runDueTimers();
    void pollSignals();

    st_h2o_evloop_t* m_native;
    std::multimap<TimePoint, Callback> m_timers;
    Callback m_onTerminate;
    bool m_stopped { false };
};

} // namespace marigoldlink
