#ifndef HYSSOPLOFT_TESTS_LOAD_WORKLOAD_HPP
#define HYSSOPLOFT_TESTS_LOAD_WORKLOAD_HPP

// Seeded open-loop arrivals of the two deployments (design, section 1.1).

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoploft::load {

inline constexpr std::array<std::string_view, 3> regions{
    "east", "west", "north"};

/// Accounts: two large ones, then three small ones. account_names[flooding]
/// sends several times its rate for a third of the run.
inline constexpr std::array<std::string_view, 5> account_names{
    "large-a", "large-b", "small-a", "small-b", "small-c"};
inline constexpr std::array<double, 5> account_shares{
    0.4, 0.3, 0.12, 0.1, 0.08};
inline constexpr std::size_t flooding = 2;

enum class call_kind : std::uint8_t
{
    label,
    quote,
    review, ///< Batch priority.
    order   ///< Not repeatable.
};

struct workload_settings
{
    std::string deployment = "valea"; ///< Or "ferreira".
    std::uint64_t seed = 1;
    double seconds = 20;
    double rate = 1;         ///< Multiplies the calls per second.
    double flood_factor = 6; ///< Of the flooding account's own rate.
    std::size_t max_calls = 5000;
};

struct arrival
{
    double time = 0; ///< Seconds from the start.
    std::size_t number = 0;
    std::size_t region = 0;
    std::size_t account = 0;
    call_kind kind = call_kind::label;
    bool bound = false; ///< To its region by a residency rule.
    std::uint32_t prompt_tokens = 0;
    std::uint32_t template_tokens = 0; ///< Of the prompt, shared with others.
    std::uint32_t answer_tokens = 0;
    std::uint32_t template_number = 0;
};

/// Ordered by time; at most max_calls.
std::vector<arrival> draw_arrivals(const workload_settings& settings);

/// Name of the model that a call asks for.
std::string model_of(const arrival& it);

/// A prompt of about prompt_tokens tokens of four bytes.
std::string prompt_of(const arrival& it);

} // namespace hyssoploft::load

#endif
