#ifndef HYSSOPLOFT_LIBGATEWAY_ACTIVE_REQUESTS_HPP
#define HYSSOPLOFT_LIBGATEWAY_ACTIVE_REQUESTS_HPP

// Registry of running requests by the key that authenticated them, used to
// cancel them when the key is withdrawn. Thread safe.

#include <LibGateway/control_view.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace hyssoploft::gateway {

/// True for the digest of a key that was withdrawn or deleted.
bool is_withdrawn(const control_view& control, const std::string& key_digest);

class active_requests
{
public:
    /// `on_withdrawn` is called at most once, on the thread of
    /// cancel_withdrawn().
    std::uint64_t
    add(std::string key_digest, std::function<void()> on_withdrawn);

    void remove(std::uint64_t id);

    /// Cancels the requests whose key was withdrawn or deleted since they
    /// started.
    void cancel_withdrawn(const control_view& control);

private:
    struct entry
    {
        std::string key_digest;
        std::function<void()> on_withdrawn;
    };

    std::mutex mutex_;
    std::uint64_t next_id_ = 1;
    std::map<std::uint64_t, entry> entries_;
};

} // namespace hyssoploft::gateway

#endif
