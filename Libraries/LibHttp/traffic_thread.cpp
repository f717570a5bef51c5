// Runs an event loop on a thread of its own.

#include <LibHttp/traffic_thread.hpp>

namespace hyssoploft::http {

traffic_thread::traffic_thread()
    : context_(1), pool_(context_), work_(context_.get_executor()),
      thread_([this] {
          context_.run();
      })
{}

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
