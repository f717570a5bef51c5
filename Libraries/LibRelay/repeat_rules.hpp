#ifndef HYSSOPLOFT_LIBRELAY_REPEAT_RULES_HPP
#define HYSSOPLOFT_LIBRELAY_REPEAT_RULES_HPP

// Rules on whether a request may be retried, given its attempts so far. The
// retry budget is checked separately.

#include <LibManifest/manifest.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace hyssoploft::relay {

struct attempt_counts
{
    std::uint32_t attempts = 0; ///< Including those that certainly did not run.
    std::uint32_t executions = 0; ///< Those that ran or may have run.
};

/// Limit on attempts of a request, including those that did not run.
inline constexpr std::uint32_t max_attempts_per_request = 4;

/// Shortest remaining time for a call: a round trip and a short computation.
inline constexpr std::chrono::milliseconds min_time_left{20};

/// A sound upstream may send nothing for this time and go on, as during a pause
/// of its process. A stream is not resumed elsewhere sooner.
inline constexpr std::chrono::milliseconds max_sound_silence{2000};

/// True for requests that may run more than once: idempotent ones, and streams
/// that can resume at another upstream.
constexpr bool is_retryable(manifest::repeat_kind kind)
{
    return kind == manifest::repeat_kind::idempotent ||
           kind == manifest::repeat_kind::resumable_stream;
}

/// Whether to retry after an attempt that certainly did not run.
constexpr bool may_resend(const attempt_counts& it)
{
    return it.attempts < max_attempts_per_request;
}

/// Whether to retry after an unsuccessful attempt that ran or may have run.
constexpr bool may_rerun(
    manifest::repeat_kind kind, std::uint32_t max_executions,
    const attempt_counts& it)
{
    return is_retryable(kind) && it.executions < max_executions &&
           it.attempts < max_attempts_per_request;
}

/// How long a peer may acknowledge nothing before its call fails: until the
/// call's deadline, `time_left` from now, as the peer may go on with it once it
/// is heard again. A call that may be repeated is given up sooner by the run of
/// its request, once the repeat is certain.
constexpr std::chrono::milliseconds silence_timeout_for(
    std::chrono::milliseconds shortest, core::duration time_left)
{
    return std::max(
        shortest,
        std::chrono::duration_cast<std::chrono::milliseconds>(time_left));
}

} // namespace hyssoploft::relay

#endif
