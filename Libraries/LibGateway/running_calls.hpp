#ifndef HYSSOPLOFT_LIBGATEWAY_RUNNING_CALLS_HPP
#define HYSSOPLOFT_LIBGATEWAY_RUNNING_CALLS_HPP

// Registry of calls in flight, used to cancel them when their upstream or VM
// has left the membership. A paused VM keeps its connections open, so a call to
// it would otherwise wait until its deadline. Thread safe.

#include <LibCore/time.hpp>
#include <LibMembership/fleet_view.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace hyssoploft::gateway {

/// Time of the last byte received, as nanoseconds of the monotonic clock.
using last_byte_time = std::atomic<core::duration::rep>;

struct running_call
{
    std::string via_vm; ///< Empty for a direct call.
    std::shared_ptr<const last_byte_time> last_byte;
    std::function<void()> on_lost; ///< Called at most once.
};

class running_calls
{
public:
    std::uint64_t add(running_call it);
    void remove(std::uint64_t id);

    /// Cancels the calls whose VM is dead, if they have received nothing for
    /// silence_time: the view of this VM can be wrong about a peer that still
    /// answers. Direct calls go on.
    void cancel_lost(const membership::fleet_view& fleet, core::time_point now);

    static constexpr std::chrono::seconds silence_time{3};

private:
    std::mutex mutex_;
    std::uint64_t next_id_ = 1;
    std::map<std::uint64_t, running_call> calls_;
};

} // namespace hyssoploft::gateway

#endif
