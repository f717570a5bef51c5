#ifndef HYSSOPLOFT_LIBFLEET_PAUSED_UPSTREAMS_HPP
#define HYSSOPLOFT_LIBFLEET_PAUSED_UPSTREAMS_HPP

// Upstreams that refused a call of this VM and asked it to stay away for some
// time (503 with Retry-After). A pause belongs to this VM and one incarnation
// of the upstream. After its end the VM's calls return in steps. Does no I/O.

#include <LibCore/time.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hyssoploft::fleet {

class paused_upstreams
{
public:
    /// Longest pause that is obeyed: an upstream that asks for more is tried
    /// again then, as it may have sent a wrong number.
    static constexpr core::duration max_pause = std::chrono::seconds(60);
    /// From one call at a time to all of the upstream's capacity.
    static constexpr core::duration ramp_time = std::chrono::seconds(1);

    /// Begins a pause or lengthens it. False if it ends no later than a known
    /// one, or a newer incarnation is known.
    bool
    add(const std::string& upstream, std::uint64_t incarnation,
        core::duration pause, core::time_point now);

    /// When this incarnation may be called again; `now` if it may.
    core::time_point ends_at(
        const std::string& upstream, std::uint64_t incarnation,
        core::time_point now) const;

    /// Calls of this VM that an upstream with `capacity` may have at a time
    /// after its pause; `capacity` once calls have returned.
    std::uint32_t max_calls(
        const std::string& upstream, std::uint64_t incarnation,
        std::uint32_t capacity, core::time_point now) const;

    /// Forgets the upstreams whose calls have returned, and tells which.
    std::vector<std::string> remove_ended(core::time_point now);

    std::size_t size() const
    {
        return entries_.size();
    }

private:
    struct entry
    {
        std::uint64_t incarnation = 0;
        core::time_point ends_at{};
    };

    const entry*
    find(const std::string& upstream, std::uint64_t incarnation) const;

    std::map<std::string, entry> entries_;
};

} // namespace hyssoploft::fleet

#endif
