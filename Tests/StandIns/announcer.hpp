#ifndef HYSSOPLOFT_TESTS_STANDINS_ANNOUNCER_HPP
#define HYSSOPLOFT_TESTS_STANDINS_ANNOUNCER_HPP

// Announces a stand-in upstream, renews it, reports its load and announces
// that it leaves, as the upstreams' API says.

#include <LibHttp/traffic_thread.hpp>
#include <StandIns/batch.hpp>

#include <boost/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
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

    void set_load(std::uint32_t running, std::uint32_t queued)
    {
        running_ = running;
        queued_ = queued;
    }

    /// Load is reported this long after it was measured. Call before start().
    void set_lag(std::chrono::milliseconds lag)
    {
        lag_ = lag;
    }

    /// Publishes the cache changes of `steps` to each of `vms`, each event
    /// 0.5 to 3.5 s late; one in six is lost.
    void
    publish_cache(std::shared_ptr<batch> steps, std::vector<std::string> vms);

private:
    http::asio::awaitable<void> run();
    http::asio::awaitable<bool>
    post(std::string path, boost::json::object body);
    http::asio::awaitable<bool>
    post_to(std::string vm, std::string path, boost::json::object body);
    boost::json::object lagged_load();
    http::asio::awaitable<void>
    run_cache(std::shared_ptr<batch> steps, std::vector<std::string> vms);
    http::asio::awaitable<void> deliver(
        std::chrono::milliseconds late, std::vector<std::string> vms,
        boost::json::object body);

    struct load_sample
    {
        std::chrono::steady_clock::time_point time;
        std::uint32_t running, queued;
    };

    std::shared_ptr<http::traffic_thread> thread_;
    boost::json::object record_;
    std::vector<std::string> vms_;
    std::size_t next_vm_ = 0;
    std::uint64_t incarnation_;
    std::uint64_t sequence_ = 0;
    std::atomic<std::uint32_t> running_{0};
    std::atomic<std::uint32_t> queued_{0};
    std::chrono::milliseconds lag_{0};
    std::deque<load_sample> samples_; // Of the last lag_, oldest first.
    std::atomic<bool> leaving_{false};
};

/// Waits for SIGTERM or SIGINT.
void wait_for_signal();

} // namespace hyssoploft::tests

#endif
