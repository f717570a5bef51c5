#ifndef HYSSOPLOFT_LIBROUTING_ENGINE_SAMPLE_HPP
#define HYSSOPLOFT_LIBROUTING_ENGINE_SAMPLE_HPP

// Chooses which engines of a region a VM compares for a call.
//
// Load: a region whose VMs place many calls before they see each other's. If
// each of them takes the engine with the least reported load, all of these
// calls go to the same one. A VM compares the first few engines of the
// rendezvous order of the call's prompt instead, so that calls spread over the
// engines and those with the same prompt prefix stay together.

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hyssoploft::routing {

/// An engine as one VM sees it.
struct engine_load
{
    std::uint64_t rank = 0;  ///< For the prompt; the highest is preferred.
    double wait_seconds = 0; ///< Queueing delay by other calls.
};

/// How many of `engines` engines a VM compares if its region places
/// `unseen_calls` calls in the time until load reports show them.
std::size_t compared_engines(double unseen_calls, std::size_t engines);

/// Indices of the engines to compare: the first `compared` in the order of
/// their ranks, or the next ones if all of these have clearly more than the
/// mean load. All if `compared` is not smaller than their number.
std::vector<std::size_t>
sample_engines(const std::vector<engine_load>& engines, std::size_t compared);

} // namespace hyssoploft::routing

#endif
