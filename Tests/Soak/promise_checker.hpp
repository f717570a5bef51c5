#ifndef HYSSOPLOFT_TESTS_SOAK_PROMISE_CHECKER_HPP
#define HYSSOPLOFT_TESTS_SOAK_PROMISE_CHECKER_HPP

// Checks the promises to callers and operators from what callers, upstreams
// and operators of the soak have seen. Knows nothing of the fleet's inside.

#include <LibCore/enum_table.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoploft::soak {

enum class request_kind : std::uint8_t
{
    at_most_once,
    idempotent,
    stream ///< May be resumed at another upstream.
};

/// What a caller got for one request.
struct caller_answer
{
    unsigned status = 0; ///< 0: the connection ended before a whole head.
    std::string stamp;   ///< Signature of the upstream; empty: none.
    std::string body;
    bool complete = false; ///< The body ended as HTTP says.
    /// From the first byte of the request to the end of its answer.
    std::chrono::milliseconds lasted{};
};

/// What disturbs the fleet. The calmer it is, the more it has promised.
enum class disturbance : std::uint8_t
{
    random_faults,
    planned_stops,    ///< One VM at a time gets SIGTERM.
    silent_upstreams, ///< Upstreams stop to announce themselves, and serve.
    faulty_answers,   ///< Upstreams repeat their answers, or trickle.
    departures        ///< Upstreams deregister, and serve.
};

inline constexpr core::enum_table<disturbance, 5> disturbance_names{
    {{disturbance::random_faults, "random_faults"},
     {disturbance::planned_stops, "planned_stops"},
     {disturbance::silent_upstreams, "silent_upstreams"},
     {disturbance::faulty_answers, "faulty_answers"},
     {disturbance::departures, "departures"}}};

/// The longest timeout of a route in the soak's documents.
inline constexpr std::chrono::milliseconds longest_timeout{3490};

/// Bytes that an upstream answers with.
std::string plain_body(std::string_view request_id, std::string_view stamp);
std::string event_text(std::string_view request_id, int number);

inline constexpr int events_of_stream = 12;

class promise_checker
{
public:
    void
    sent(const std::string& id, request_kind kind, const std::string& account);

    /// An upstream began to work on a request.
    void
    ran(const std::string& id, const std::string& account, bool key_passed_on);

    /// A request reached an upstream that had left before this disturbance.
    void
    ran_after_departure(const std::string& id, const std::string& upstream);

    void answered(const std::string& id, const caller_answer& it);

    /// An operator's document was acknowledged.
    void acknowledged(std::uint64_t version);

    /// The newest acknowledged version, for read_back().
    std::uint64_t newest_acknowledged() const
    {
        return acknowledged_;
    }

    /// A read that was sent when `acknowledged_before` was the newest one.
    void read_back(std::uint64_t version, std::uint64_t acknowledged_before);

    /// Requests are held to what is promised under `it` if they begin and end
    /// under it.
    void set_disturbance(disturbance it);

    /// Checks the promises that hold for many requests together. Call once,
    /// after the last answer.
    void finish();

    /// Any other promise that was broken, in words.
    void broken(std::string what);

    /// Broken promises so far, a line each.
    const std::vector<std::string>& violations() const
    {
        return violations_;
    }

    std::size_t requests() const
    {
        return requests_.size();
    }

    std::size_t successes() const
    {
        return successes_;
    }

private:
    struct request_state
    {
        request_kind kind = request_kind::idempotent;
        std::string account;
        int runs = 0;
        bool refused = false; // With a status that says it never runs.
        unsigned period = 0;  // In which it was sent.
    };

    bool is_calm(const request_state& state) const;
    void check_end(
        const std::string& id, const request_state& state,
        const caller_answer& it);

    void check_success(
        const std::string& id, const request_state& state,
        const caller_answer& it);
    void check_stream(const std::string& id, const caller_answer& it);

    std::map<std::string, request_state> requests_; // By identifier.
    std::vector<std::string> violations_;
    std::uint64_t acknowledged_ = 0;
    std::size_t successes_ = 0;
    disturbance disturbance_ = disturbance::random_faults;
    unsigned period_ = 0;       // Counts the changes of `disturbance_`.
    std::size_t outlasted_ = 0; // Calm requests that outlasted their route.
    std::size_t held_ = 0;      // Of these, without an answer even later.
};

} // namespace hyssoploft::soak

#endif
