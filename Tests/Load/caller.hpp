#ifndef HYSSOPLOFT_TESTS_LOAD_CALLER_HPP
#define HYSSOPLOFT_TESTS_LOAD_CALLER_HPP

// Callers of the three regions: they ask for entry VMs, send calls and take
// the answers.

#include <LibHttp/http_client.hpp>
#include <LibHttp/sse_parser.hpp>
#include <LibHttp/traffic_thread.hpp>
#include <Load/report.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace hyssoploft::load {

/// What a caller has of its account.
struct account_access
{
    double tokens_per_second = 0;
    double burst_tokens = 0;
    std::string first_key;  ///< Until the middle of the run.
    std::string second_key; ///< From then on.
};

struct caller_settings
{
    std::vector<std::string> seed_vms; ///< "IP:port", to ask for entry VMs.
    std::map<std::string, account_access> accounts;
    double key_change_at = 10;  ///< Seconds from the start.
    double credit_seconds = 5;  ///< Age of the rates at the start.
    double answer_seconds = 10; ///< To the head of an answer.
    std::uint32_t tries = 3;    ///< VMs for one call.
    std::uint64_t seed = 1;
};

/// Used on the traffic thread only.
class caller
{
public:
    using clock = std::chrono::steady_clock;

    caller(http::traffic_thread& thread, caller_settings settings);

    /// Reads the entry VMs of all regions; false if no VM answers.
    http::asio::awaitable<bool> refresh();

    /// Sends a call that arrives now and returns what became of it.
    http::asio::awaitable<call_record> send(const arrival& call);

    void start(clock::time_point now);

private:
    struct entry_vm
    {
        std::string address;
        std::string region;
    };

    struct meter
    {
        double credit = 0;
        clock::time_point updated;
    };

    std::vector<std::string> vms_for(const arrival& call);
    double& credit_of(const arrival& call);
    http::request message_for(const arrival& call, const std::string& vm) const;
    http::asio::awaitable<bool> attempt(
        const arrival& call, const std::string& vm, clock::time_point arrived,
        call_record& out);
    http::asio::awaitable<void> read_events(
        http::http_call& it, clock::time_point arrived, call_record& out);
    std::string key_for(const arrival& call) const;

    http::traffic_thread& thread_;
    const caller_settings settings_;
    clock::time_point start_;
    std::map<std::string, std::vector<entry_vm>> entry_vms_; // By region.
    std::map<std::string, meter> meters_;                    // By account.
    std::mt19937_64 random_;
};

} // namespace hyssoploft::load

#endif
