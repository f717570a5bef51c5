// Runs an event loop on a thread of its own.

#include <LibHttp/traffic_thread.hpp>

#include <chrono>

namespace hyssoploft::http {

namespace {

/// Of idle connections.
constexpr std::chrono::seconds cleanup_interval{1};

} // namespace

traffic_thread::traffic_thread()
    : context_(1), pool_(context_), cleanup_timer_(context_),
      work_(context_.get_executor()), thread_([this] {
          schedule_cleanup();
          context_.run();
      })
{}

void traffic_thread::schedule_cleanup()
{
    cleanup_timer_.expires_after(cleanup_interval);
    cleanup_timer_.async_wait([this](const error_code& ec) {
        if (!ec)
        {
            pool_.close_unusable(std::chrono::steady_clock::now());
            schedule_cleanup();
        }
    });
}

traffic_thread::~traffic_thread()
{
    stop();
}

void traffic_thread::stop()
{
    context_.stop();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

} // namespace hyssoploft::http
