#ifndef HYSSOPLOFT_LIBCONSENSUS_REPLICATED_STATE_MACHINE_HPP
#define HYSSOPLOFT_LIBCONSENSUS_REPLICATED_STATE_MACHINE_HPP

// What the driver feeds with committed entries. An implementation must be
// deterministic: it uses no clock, no random numbers and no local settings.

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
    /// that are no commands are left out.
    virtual std::string
    apply(std::uint64_t index, std::string_view command) = 0;

    /// The whole state after the last command applied.
    virtual std::string take_snapshot() = 0;

    /// Replaces the whole state. An error stops the replica.
    virtual absl::Status install_snapshot(std::string_view bytes) = 0;
};

} // namespace hyssoploft::consensus

#endif
