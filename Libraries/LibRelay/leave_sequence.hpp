#ifndef HYSSOPLOFT_LIBRELAY_LEAVE_SEQUENCE_HPP
#define HYSSOPLOFT_LIBRELAY_LEAVE_SEQUENCE_HPP

// Phases of a planned stop: a VM goes on accepting until callers have learned
// of other VMs, then refuses, and ends once nothing is left to answer. What is
// still open near the end of the grace time is answered with a failure, as a
// caller learns nothing from a connection that ends.
//
// Reads no clock and does no I/O.

#include <LibCore/enum_table.hpp>
#include <LibCore/time.hpp>

#include <cstddef>
#include <cstdint>

namespace hyssoploft::relay {

enum class leave_phase : std::uint8_t
{
    serving,
    accepting, ///< Leaves, and still takes new requests.
    refusing,  ///< Takes no new requests; finishes those that it has.
    failing,   ///< Answers what is left with a failure.
    stopped    ///< The process may end.
};

inline constexpr core::enum_table<leave_phase, 5> leave_phase_names{
    {{leave_phase::serving, "serving"},
     {leave_phase::accepting, "accepting"},
     {leave_phase::refusing, "refusing"},
     {leave_phase::failing, "failing"},
     {leave_phase::stopped, "stopped"}}};

struct leave_settings
{
    core::duration accept_for{}; ///< From the start of the stop.
    /// Without an open request for this time, requests that are on their way
    /// are taken to go elsewhere.
    core::duration quiet_for{};
    /// From the start of the stop; requests that are still open fail.
    core::duration stop_after{};
    /// For their answers. 0: the process ends at once.
    core::duration fail_for{};
};

class leave_sequence
{
public:
    explicit leave_sequence(const leave_settings& settings)
        : settings_(settings)
    {}

    /// The stop was requested. Later calls have no effect.
    void begin(core::time_point now);

    /// `open_requests`: those read and not answered, in whatever state.
    leave_phase update(std::size_t open_requests, core::time_point now);

    /// Time until the next phase begins at a set time; at most `limit`.
    core::duration
    time_to_next_phase(core::time_point now, core::duration limit) const;

    leave_phase phase() const
    {
        return phase_;
    }

private:
    leave_settings settings_;
    leave_phase phase_ = leave_phase::serving; // Only moves forward.
    core::time_point began_{};
    core::time_point last_open_{}; // When a request was last open.
};

} // namespace hyssoploft::relay

#endif
