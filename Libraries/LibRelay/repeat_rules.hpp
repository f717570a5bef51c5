#ifndef HYSSOPLOFT_LIBRELAY_REPEAT_RULES_HPP
#define HYSSOPLOFT_LIBRELAY_REPEAT_RULES_HPP

// Whether a request may be sent to an upstream once more, by what is known of
// its attempts so far. Pure; the budget of repeats is asked separately.

#include <LibManifest/manifest.hpp>

#include <cstdint>

namespace hyssoploft::relay {

struct attempts_so_far
{
    std::uint32_t tries = 0; ///< Including those that certainly did not run.
    std::uint32_t runs = 0;  ///< Those that ran or may have run.
};

/// A request is sent to so many places at most, also where it did not run.
inline constexpr std::uint32_t max_tries = 4;

/// True for requests that may run more than once: idempotent ones, and
/// streams that may go on at another upstream.
constexpr bool is_repeatable(manifest::repeat_kind kind)
{
    return kind == manifest::repeat_kind::idempotent ||
           kind == manifest::repeat_kind::resumable_stream;
}

/// After an attempt that certainly did not run.
constexpr bool may_send_again(const attempts_so_far& it)
{
    return it.tries < max_tries;
}

/// After an attempt that ran or may have run, and that gave no success.
constexpr bool may_run_again(
    manifest::repeat_kind kind, std::uint32_t max_runs,
    const attempts_so_far& it)
{
    return is_repeatable(kind) && it.runs < max_runs && it.tries < max_tries;
}

} // namespace hyssoploft::relay

#endif
