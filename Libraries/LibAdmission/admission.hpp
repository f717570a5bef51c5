#ifndef HYSSOPLOFT_LIBADMISSION_ADMISSION_HPP
#define HYSSOPLOFT_LIBADMISSION_ADMISSION_HPP

// Interface of admission control: decides which waiting request runs next and
// which one is refused early. Does no I/O and is not thread safe; the gateway
// serializes the calls.

#include <LibCore/enum_table.hpp>
#include <LibCore/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace hyssoploft::admission {

/// Why a request was refused. A refused request never ran.
enum class refusal_reason : std::uint8_t
{
    queue_full,        ///< The queue of its account is full.
    deadline_too_near, ///< It would not finish in time.
    shutting_down
};

inline constexpr core::enum_table<refusal_reason, 3> refusal_reason_names{
    {{refusal_reason::queue_full, "queue_full"},
     {refusal_reason::deadline_too_near, "deadline_too_near"},
     {refusal_reason::shutting_down, "shutting_down"}}};

struct waiting_request
{
    std::uint64_t id = 0; ///< Unique in this process.
    std::string account;
    double weight = 1.0;    ///< Of the account; greater than 0.
    double cost_tokens = 0; ///< Estimate; finished() gets the real cost.
    bool interactive = true;
    core::time_point deadline{};
    core::duration expected_run{};
};

enum class admission_verdict : std::uint8_t
{
    run,
    wait,
    refuse
};

struct admission_answer
{
    admission_verdict verdict = admission_verdict::run;
    refusal_reason reason = refusal_reason::queue_full; ///< If refused.
    core::duration retry_after{};                       ///< If refused.
};

/// Requests that left the queue in one poll().
struct admission_update
{
    std::vector<std::uint64_t> run;     ///< To start now, in this order.
    std::vector<std::uint64_t> refused; ///< Can't meet their deadline.
};

class admission_controller
{
public:
    virtual ~admission_controller() = default;

    /// Adds a new request, which runs at once, waits or is refused. Each
    /// request that runs needs exactly one later call of finished().
    virtual admission_answer
    submit(const waiting_request& request, core::time_point now) = 0;

    /// Reports the end of a running request. `tokens` is its real cost;
    /// `overloaded` means that an upstream refused it for load or was slow.
    virtual void finished(
        std::uint64_t id, double tokens, bool overloaded,
        core::time_point now) = 0;

    /// Removes a waiting request whose caller disconnected.
    virtual void cancel(std::uint64_t id) = 0;

    /// Returns the requests to start or refuse now. Call it after submit() and
    /// finished(), and on a timer.
    virtual admission_update poll(core::time_point now) = 0;

    /// Sets how many requests may run at a time: the sum of the limits of all
    /// upstreams that accept work.
    virtual void set_capacity(std::uint32_t calls, core::time_point now) = 0;

    /// Refuses every new request from now on; waiting requests still run.
    virtual void shut_down() = 0;

    virtual std::size_t waiting() const = 0;
    virtual std::size_t running() const = 0;
};

} // namespace hyssoploft::admission

#endif
