#ifndef HYSSOPLOFT_LIBCONTROL_MANIFEST_DELIVERY_HPP
#define HYSSOPLOFT_LIBCONTROL_MANIFEST_DELIVERY_HPP

// Decides whether a control VM adds the manifest to its answer in the exchange
// of state.

#include <LibCore/time.hpp>

#include <chrono>
#include <cstdint>

namespace hyssoploft::control {

/// A control VM that lacks the manifest for longer does not read it from its
/// log, because its disk is full: more than a heartbeat of the leader. With the
/// next exchange of state it is known there before an operator's read times
/// out.
constexpr core::duration log_delivery_time = std::chrono::milliseconds(300);

/// `age`: time since the manifest came into force on the answering VM.
inline bool is_manifest_due(
    std::uint64_t own_version, core::duration age,
    std::uint64_t requester_version, bool requester_is_control_vm)
{
    return own_version > requester_version &&
           (!requester_is_control_vm || age >= log_delivery_time);
}

} // namespace hyssoploft::control

#endif
