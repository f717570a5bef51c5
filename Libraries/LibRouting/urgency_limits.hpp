#ifndef HYSSOPLOFT_LIBROUTING_URGENCY_LIMITS_HPP
#define HYSSOPLOFT_LIBROUTING_URGENCY_LIMITS_HPP

// How long the calls of a role may wait at its engines, by their urgency.
//
// Load: less urgent calls with a longer latency target beside urgent ones with
// a short one, at engines that have too little room for both. An engine reads
// prompts in order of arrival, so that the less urgent calls, which accept a
// longer queue, fill it up to a length at which every urgent call is refused.
// Less urgent calls may use only a part of the queue that the urgent ones
// accept, unless they are served much less often than these.

#include <LibCore/time.hpp>
#include <LibRouting/event_rate.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace hyssoploft::routing {

/// Not thread safe. Belongs to one VM and counts the calls that it places.
class urgency_limits
{
public:
    /// `wait_share`: part of a call's latency target for which it may wait for
    /// other calls.
    explicit urgency_limits(double wait_share) : wait_share_(wait_share) {}

    /// Longest wait for other calls with which a call is accepted.
    double max_wait_seconds(
        const std::string& role, std::uint32_t urgency, core::duration target,
        core::time_point now) const;

    /// A call was accepted, or refused because of its wait.
    void record(
        const std::string& role, std::uint32_t urgency, core::duration target,
        bool accepted, core::time_point now);

private:
    /// A VM of a large fleet sees few calls of a level in a second.
    static constexpr double time_constant_seconds = 3.0;

    struct level
    {
        event_rate offered{time_constant_seconds};
        event_rate accepted{time_constant_seconds};
        core::duration target{}; // Of the newest call.
    };

    static double served_share(const level& it, core::time_point now);

    double wait_share_;
    /// By role, then by urgency; 0 is the most urgent.
    std::map<std::string, std::map<std::uint32_t, level>> roles_;
};

} // namespace hyssoploft::routing

#endif
