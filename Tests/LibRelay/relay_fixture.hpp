#ifndef HYSSOPLOFT_TESTS_LIBRELAY_RELAY_FIXTURE_HPP
#define HYSSOPLOFT_TESTS_LIBRELAY_RELAY_FIXTURE_HPP

// Runs the entry handler of a VM on the loopback interface, with fakes for its
// services and scripted upstreams.

#include <Support/monitor.hpp>
#include <Support/reserved_address.hpp>
#include <Support/scripted_upstream.hpp>
#include <Support/skipping_clock.hpp>
#include <Support/test_caller.hpp>

#include <LibHttp/http_server.hpp>
#include <LibRelay/relay_handler.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hyssoploft::tests {

/// Publishes what the test sets. Thread safe.
class fake_traffic_source final : public fleet::traffic_source
{
public:
    std::shared_ptr<const fleet::traffic_view> view() const override;

    void set_loads(std::vector<fleet::load_row> loads) override
    {
        (void)loads;
    }

    /// Applies `change` to a copy of the view and of its fleet.
    void change(const std::function<
                void(fleet::traffic_view&, membership::fleet_view&)>& change);

private:
    mutable std::mutex mutex_; // Guards view_.
    std::shared_ptr<const fleet::traffic_view> view_;
};

/// Keeps a table like the control thread of a fleet with one VM, and publishes
/// it. Thread safe.
class local_suspects final : public fleet::suspect_sink
{
public:
    explicit local_suspects(fake_traffic_source& source) : source_(source) {}

    void report_crash(
        std::uint64_t upstream, std::vector<std::uint64_t> parts,
        core::time_point at) override;
    void report_answer(std::uint64_t part, core::time_point at) override;

    /// The parts of each report, in order.
    std::vector<std::vector<std::uint64_t>> crashes() const;

private:
    fake_traffic_source& source_;
    mutable std::mutex mutex_; // Guards the members below.
    fleet::crash_suspects table_;
    std::vector<std::vector<std::uint64_t>> crashes_;
};

/// Keeps the reports of upstreams that leave. Thread safe.
class recorded_leaves final : public fleet::leave_sink
{
public:
    void report_leaving(
        const std::string& upstream, std::uint64_t incarnation,
        core::time_point at) override;

    std::vector<std::pair<std::string, std::uint64_t>> reports() const;

private:
    mutable std::mutex mutex_; // Guards reports_.
    std::vector<std::pair<std::string, std::uint64_t>> reports_;
};

/// Headers of the tests: x-request-id, x-key, x-deadline-ms, last-event-id,
/// x-not-run, x-signature, x-leaving, x-parts (identifiers of parts of 100
/// tokens).
class fake_codec final : public relay::call_codec
{
public:
    relay::call_head read_call(const http::request& it) const override;
    http::request make_upstream_call(
        const http::request& from,
        const relay::call_terms& terms) const override;
    relay::answer_head
    read_answer(const http::bhttp::response_header<>& it) const override;
    void copy_answer_headers(
        const http::bhttp::response_header<>& from,
        http::bhttp::response_header<>& to) const override;
    http::response make_refusal(const gateway::refusal& it) const override;

    /// Runs after a call was placed and before it is sent. Set it before the
    /// first request.
    std::function<void()> before_send;
};

/// Has credit for every request unless has_credit is false. Thread safe.
class generous_limiter final : public rate::rate_limiter
{
public:
    rate::reserve_result reserve(
        const std::string& account, double tokens,
        core::time_point now) override;
    rate::reserve_result reserve_with_loan(
        const std::string& account, double tokens, double lent,
        core::time_point now) override;
    void settle(
        const rate::reservation& taken, double used_tokens,
        core::time_point now) override;

    std::atomic<bool> has_credit{true}; ///< Without a loan.
    std::atomic<int> refunded{0};
};

/// Lends nothing until the test says so. Thread safe.
class slow_lender final : public rate::credit_lender
{
public:
    explicit slow_lender(monitor& state) : state_(state) {}

    void borrow(
        const std::string& account, double tokens, loan_handler done) override;

    /// Answers all waiting requests with the tokens that they asked for.
    void lend_all();

    /// Unanswered requests. Guarded by the monitor.
    std::size_t waiting() const
    {
        return open_.size();
    }

private:
    struct open_request
    {
        double tokens = 0;
        loan_handler done;
    };

    monitor& state_;
    std::vector<open_request> open_;
};

class relay_fixture
{
public:
    relay_fixture();
    ~relay_fixture();

    /// Adds an upstream of this VM's region that serves every route.
    void add_upstream(const std::string& id, const std::string& at);

    /// Moves the upstream "first" to another region. What it sends is then the
    /// answer of the only VM there that takes calls.
    void put_behind_vm();

    /// Requires the key "k" of an account with a rate.
    void set_rate(double tokens_per_second);

    /// The same for the route of engines.
    void add_engine(const std::string& id, const std::string& at);

    /// Makes other upstreams preferable to this one.
    void set_busy(const std::string& id);

    answer call(const std::string& text) const;

    /// Of the traffic thread.
    http::asio::io_context& context()
    {
        return thread_->context();
    }

    /// Bounds the answers in memory, as a VM's settings do.
    void set_answer_budget(std::shared_ptr<core::byte_budget> budget);

    /// As at the end of a planned stop.
    void end_open_runs();

    /// Waits until every request is answered and settled.
    void wait_idle() const;

    monitor state;
    const reserved_address reserved;
    const std::string address = reserved.text();
    const reserved_address peer_reserved;
    /// Of the handler for calls that another VM forwards.
    const std::string peer_address = peer_reserved.text();
    std::shared_ptr<skipping_clock> clock = std::make_shared<skipping_clock>();
    std::shared_ptr<fake_traffic_source> source =
        std::make_shared<fake_traffic_source>();
    std::shared_ptr<local_suspects> suspects =
        std::make_shared<local_suspects>(*source);
    std::shared_ptr<recorded_leaves> leaves =
        std::make_shared<recorded_leaves>();
    std::shared_ptr<fake_codec> codec = std::make_shared<fake_codec>();
    std::shared_ptr<generous_limiter> limiter =
        std::make_shared<generous_limiter>();
    telemetry::metrics metrics;
    scripted_upstream upstream; ///< "first", in data centre "n-a".
    std::shared_ptr<relay::relay_services> services;
    std::shared_ptr<http::http_server> server;
    std::shared_ptr<http::http_server> peer_server;

private:
    void declare();

    core::seeded_random random_{1};
    std::shared_ptr<http::traffic_thread> thread_;
};

/// Requests of the routes below; `headers` are complete header lines.
/// "/order/": at most once; "/stream/": a stream, at most once; "/resume/": a
/// stream that may resume at a second upstream; "/read/": idempotent, at two
/// upstreams; "/generate/": a stream of an engine that may resume at a second
/// one. Latency target 400 ms, pause target 100 ms, timeout 3 s.
std::string relay_request(
    std::string_view path, std::string_view id, std::string_view headers = {});

/// An answer with Content-Length, the identifier of its request and the
/// upstream's signature.
std::string signed_answer(
    unsigned status, std::string_view body, std::string_view id = "{id}",
    std::string_view headers = {});

/// Head of a streamed answer with a signature.
std::string signed_stream_head(std::string_view id = "{id}");

/// A chunk with one event.
std::string numbered_event(int number);

/// The last chunk.
std::string last_chunk();

} // namespace hyssoploft::tests

#endif
