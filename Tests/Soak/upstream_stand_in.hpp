#ifndef HYSSOPLOFT_TESTS_SOAK_UPSTREAM_STAND_IN_HPP
#define HYSSOPLOFT_TESTS_SOAK_UPSTREAM_STAND_IN_HPP

// An upstream of the soak: announces itself, answers, and tells the checker
// what it ran. Callers reach it through a proxy.

#include <LibCore/random_source.hpp>
#include <LibHttp/http_server.hpp>
#include <Soak/fault_proxy.hpp>
#include <Soak/promise_checker.hpp>

#include <memory>
#include <string>
#include <vector>

namespace hyssoploft::soak {

struct upstream_options
{
    std::string id;
    std::string ip;
    std::string role;
    std::string data_center;
    std::vector<http::tcp::endpoint> control; ///< Where it announces itself.
};

class upstream_stand_in final
    : public http::request_handler,
      public std::enable_shared_from_this<upstream_stand_in>
{
public:
    /// Listens on the options' IP. Errors of the sockets.
    static absl::StatusOr<std::shared_ptr<upstream_stand_in>> create(
        std::shared_ptr<http::traffic_thread> thread,
        const upstream_options& options, promise_checker& checker,
        core::random_source& random);

    void start();

    /// A silent upstream serves, but does not announce itself.
    void set_silent(bool silent)
    {
        silent_ = silent;
    }

    /// Deregisters at a control VM, without a body, and announces itself no
    /// more. True if that was acknowledged.
    http::asio::awaitable<bool> leave(std::size_t control_vm);

    /// A late copy of the last announcement arrives at some control VM.
    http::asio::awaitable<void> repeat_announcement();

    /// From now on it counts as gone.
    void set_departed()
    {
        departed_ = true;
    }

    /// Another incarnation under the same identifier.
    void start_again();

    /// Requests since the last start.
    std::uint64_t runs() const
    {
        return runs_;
    }

    fault_proxy& proxy()
    {
        return *proxy_;
    }

    http::asio::awaitable<void> handle(http::exchange& it) override;

private:
    upstream_stand_in(
        std::shared_ptr<http::traffic_thread> thread,
        const upstream_options& options, promise_checker& checker,
        core::random_source& random);

    http::asio::awaitable<void> announce();
    http::asio::awaitable<void> announce_once();
    http::asio::awaitable<unsigned>
    tell(std::size_t control_vm, std::string target, std::string body);
    http::asio::awaitable<void>
    answer_stream(http::exchange& it, const std::string& request_id);

    std::shared_ptr<http::traffic_thread> thread_;
    const upstream_options options_;
    promise_checker& checker_;
    core::random_source& random_;
    std::shared_ptr<http::http_server> server_;
    std::shared_ptr<fault_proxy> proxy_;
    std::uint64_t born_ = 0;     // Start, Unix milliseconds.
    std::uint64_t sequence_ = 0; // Of the announcements.
    std::uint64_t runs_ = 0;
    std::string last_announcement_;
    bool silent_ = false;
    bool departed_ = false;
};

} // namespace hyssoploft::soak

#endif
