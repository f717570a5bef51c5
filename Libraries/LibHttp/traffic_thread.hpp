#ifndef HYSSOPLOFT_LIBHTTP_TRAFFIC_THREAD_HPP
#define HYSSOPLOFT_LIBHTTP_TRAFFIC_THREAD_HPP

// One traffic thread: an event loop with its own connections. A session stays
// on one of them for its life, so that it needs no locks.

#include <LibHttp/connection_pool.hpp>
#include <LibHttp/types.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>

#include <thread>

namespace hyssoploft::http {

class traffic_thread
{
public:
    traffic_thread();
    ~traffic_thread();
    traffic_thread(const traffic_thread&) = delete;
    traffic_thread& operator=(const traffic_thread&) = delete;

    asio::io_context& context()
    {
        return context_;
    }

    connection_pool& pool()
    {
        return pool_;
    }

    /// Ends the loop without waiting for sessions, and joins the thread.
    void stop();

private:
    void schedule_cleanup();

    asio::io_context context_;
    connection_pool pool_; // Used on this thread only.
    asio::steady_timer cleanup_timer_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::thread thread_;
};

} // namespace hyssoploft::http

#endif
