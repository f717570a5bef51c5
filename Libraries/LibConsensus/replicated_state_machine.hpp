#ifndef HYSSOPLOFT_LIBCONSENSUS_REPLICATED_STATE_MACHINE_HPP
#define HYSSOPLOFT_LIBCONSENSUS_REPLICATED_STATE_MACHINE_HPP

// Interface of the state machine that committed commands are applied to. An
// implementation must be deterministic: it must not use clocks, random numbers
// or local settings.

#include <absl/status/status.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace hyssoploft::consensus {

class replicated_state_machine
{
public:
    virtual ~replicated_state_machine() = default;

    /// Applies one committed command and returns the result for its proposer.
    /// Called once for each index, in ascending order; indexes of entries
    /// that are not commands are skipped.
    virtual std::string
    apply(std::uint64_t index, std::string_view command) = 0;

    /// Serializes the whole state after the last applied command.
    virtual std::string take_snapshot() = 0;

    /// Replaces the whole state. The replica stops on an error.
    virtual absl::Status install_snapshot(std::string_view bytes) = 0;
};

} // namespace hyssoploft::consensus

#endif
