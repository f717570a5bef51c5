#ifndef HYSSOPLOFT_TESTS_SOAK_SOAK_LOAD_HPP
#define HYSSOPLOFT_TESTS_SOAK_SOAK_LOAD_HPP

// The callers and the operator of a soak.

#include <LibCore/clock.hpp>
#include <LibCore/random_source.hpp>
#include <LibHttp/types.hpp>
#include <Soak/promise_checker.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace hyssoploft::soak {

struct load_targets
{
    std::vector<http::tcp::endpoint> entries; ///< Proxies of the entry VMs.
    std::vector<http::tcp::endpoint> control;
};

class soak_load
{
public:
    /// The references outlive the load.
    soak_load(
        http::asio::io_context& io, const load_targets& targets,
        promise_checker& checker, core::random_source& random);

    /// Puts the first document in force. False if nobody took it in time.
    http::asio::awaitable<bool> put_first();

    /// One caller: sends requests one after the other until stop().
    http::asio::awaitable<void> call_until_stopped();

    /// Changes the document and reads it back until stop().
    http::asio::awaitable<void> operate_until_stopped();

    /// Reads the document until it is as new as what was acknowledged.
    http::asio::awaitable<void> read_at_the_end();

    void stop()
    {
        stopped_ = true;
    }

    /// Sends one request on a new connection; true if it was served.
    http::asio::awaitable<bool> probe();

private:
    http::asio::awaitable<bool>
    send(struct kept_connection& from, request_kind kind);
    http::asio::awaitable<bool> put(std::uint64_t version);
    http::asio::awaitable<std::uint64_t> read();
    std::string document(std::uint64_t version) const;
    http::tcp::endpoint any(const std::vector<http::tcp::endpoint>& of);

    http::asio::io_context& io_;
    const load_targets targets_;
    promise_checker& checker_;
    core::random_source& random_;
    core::suspend_aware_clock clock_;
    std::uint64_t next_id_ = 1;
    std::uint64_t version_ = 0; // Of the newest document that was sent.
    bool stopped_ = false;
};

} // namespace hyssoploft::soak

#endif
