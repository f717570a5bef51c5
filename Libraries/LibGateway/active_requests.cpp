// Cancels running requests whose key was withdrawn.

#include <LibGateway/active_requests.hpp>

#include <utility>
#include <vector>

namespace hyssoploft::gateway {

bool is_withdrawn(const control_view& control, const std::string& digest)
{
    const auto declared = control.configuration();
    const auto name = declared->key_digests.find(digest);
    const auto key = name == declared->key_digests.end()
                         ? declared->keys.end()
                         : declared->keys.find(name->second);
    // A deleted key counts as withdrawn.
    return key == declared->keys.end() || key->second.withdrawn ||
           control.is_withdrawn(digest);
}

std::uint64_t
active_requests::add(std::string key_digest, std::function<void()> on_withdrawn)
{
    const std::lock_guard lock(mutex_);
    const std::uint64_t id = next_id_++;
    entries_[id] = {std::move(key_digest), std::move(on_withdrawn)};
    return id;
}

void active_requests::remove(std::uint64_t id)
{
    const std::lock_guard lock(mutex_);
    entries_.erase(id);
}

void active_requests::cancel_withdrawn(const control_view& control)
{
    std::vector<std::function<void()>> ended;
    {
        const std::lock_guard lock(mutex_);
        for (auto it = entries_.begin(); it != entries_.end();)
        {
            if (is_withdrawn(control, it->second.key_digest))
            {
                ended.push_back(std::move(it->second.on_withdrawn));
                it = entries_.erase(it);
                continue;
            }
            ++it;
        }
    }
    for (const auto& it : ended)
    {
        it();
    }
}

} // namespace hyssoploft::gateway
