#ifndef HYSSOPLOFT_TESTS_STANDINS_ANNOUNCER_HPP
#define HYSSOPLOFT_TESTS_STANDINS_ANNOUNCER_HPP

// Announces a stand-in upstream, renews it, reports its load and announces
// that it leaves, as the upstreams' API says.

#include <LibHttp/traffic_thread.hpp>

#include <boost/json.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace hyssoploft::tests {

class announcer : public std::enable_shared_from_this<announcer>
{
public:
    /// `record` holds the announcement's fields except sequence and
    /// incarnation; `vms` are "IP:port" addresses that are tried in turn.
    announcer(
        std::shared_ptr<http::traffic_thread> thread,
        boost::json::object record, std::vector<std::string> vms);

    void start();

    /// Says that it leaves; returns after the VM answered or 2 s.
    void leave();

    std::uint64_t incarnation() const
    {
        return incarnation_;
    }

    void set_running(std::uint32_t calls)
    {
        running_ = calls;
    }

private:
    http::asio::awaitable<void> run();
    http::asio::awaitable<bool>
    post(std::string path, boost::json::object body);

    std::shared_ptr<http::traffic_thread> thread_;
    boost::json::object record_;
    std::vector<std::string> vms_;
    std::size_t next_vm_ = 0;
    std::uint64_t incarnation_;
    std::uint64_t sequence_ = 0;
    std::atomic<std::uint32_t> running_{0};
    std::atomic<bool> leaving_{false};
};

/// Waits for SIGTERM or SIGINT.
void wait_for_signal();

} // namespace hyssoploft::tests

#endif
