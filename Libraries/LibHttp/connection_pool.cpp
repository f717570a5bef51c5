// Connects to upstreams and keeps idle connections.

#include <LibHttp/connection_pool.hpp>

#include <LibCore/socket_options.hpp>
#include <LibCore/text.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace hyssoploft::http {

namespace {

// A peer that closed the connection, or sent bytes that nobody asked for,
// makes an idle socket readable.
bool is_quiet(beast::tcp_stream& stream)
{
    char c = 0;
    const auto n =
        ::recv(stream.socket().native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

void connection::add_call(std::string id)
{
    if (id.empty())
    {
        return;
    }
    if (recent_calls.size() == max_recent_calls)
    {
        recent_calls.pop_front();
    }
    recent_calls.push_back(std::move(id));
}

bool connection::has_carried(const std::string& id) const
{
    return std::find(recent_calls.begin(), recent_calls.end(), id) !=
           recent_calls.end();
}

void connection::limit_silence(std::chrono::milliseconds timeout)
{
    if (std::exchange(silence_timeout, timeout) != timeout)
    {
        core::set_silence_timeout(stream.socket().native_handle(), timeout);
    }
}

absl::StatusOr<tcp::endpoint> parse_endpoint(const std::string& address)
{
    const auto error = absl::InvalidArgumentError(core::concat(
        "\"", address, "\" is not an address of the form IP:port"));
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
    {
        return error;
    }
    std::string host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        host = host.substr(1, host.size() - 2);
    }
    // make_address() reads up to a NUL only.
    if (host.find('\0') != std::string::npos)
    {
        return error;
    }
    error_code ec;
    const auto ip = asio::ip::make_address(host, ec);
    std::uint16_t port = 0;
    const char* end = address.data() + address.size();
    const auto parsed =
        std::from_chars(address.data() + colon + 1, end, port, 10);
    if (ec || parsed.ec != std::errc() || parsed.ptr != end || port == 0)
    {
        return error;
    }
    return tcp::endpoint(ip, port);
}

std::unique_ptr<connection> connection_pool::take_idle(
    const std::string& address, const std::string& call_id)
{
    const auto found = idle_.find(address);
    if (found == idle_.end())
    {
        return nullptr;
    }
    auto& list = found->second;
    const auto now = std::chrono::steady_clock::now();
    std::unique_ptr<connection> out;
    // From the back: the connections that were used last.
    for (auto n = list.size(); n > 0 && !out; --n)
    {
        const auto at = list.begin() + static_cast<std::ptrdiff_t>(n - 1);
        const bool is_usable = now - (*at)->idle_since < (*at)->idle_limit &&
                               is_quiet((*at)->stream);
        if (is_usable && (*at)->has_carried(call_id))
        {
            continue;
        }
        if (is_usable)
        {
            out = std::move(*at);
            out->reused = true;
        }
        list.erase(at);
    }
    if (list.empty())
    {
        idle_.erase(found);
    }
    return out;
}

asio::awaitable<absl::StatusOr<std::unique_ptr<connection>>>
connection_pool::acquire(
    std::string address, bool fresh, std::chrono::nanoseconds timeout,
    std::string call_id)
{
    if (!fresh)
    {
        auto it = take_idle(address, call_id);
        if (it)
        {
            co_return it;
        }
    }
    const auto endpoint = parse_endpoint(address);
    if (!endpoint.ok())
    {
        co_return endpoint.status();
    }
    auto it = std::make_unique<connection>(context_);
    it->address = address;
    it->stream.expires_after(timeout);
    error_code ec;
    co_await it->stream.async_connect(
        *endpoint, asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
    {
        co_return absl::UnavailableError(
            core::concat("connect to ", address, ": ", ec.message()));
    }
    it->stream.socket().set_option(tcp::no_delay(true), ec);
    it->limit_silence(connection::default_silence_timeout);
    co_return it;
}

void connection_pool::release(
    std::unique_ptr<connection> it, std::chrono::nanoseconds idle_limit)
{
    it->idle_limit = std::min<std::chrono::nanoseconds>(idle_limit, max_idle);
    auto& list = idle_[it->address];
    if (list.size() >= max_idle_per_address || it->buffer.size() > 0)
    {
        return;
    }
    it->stream.expires_never();
    it->idle_since = std::chrono::steady_clock::now();
    list.push_back(std::move(it));
}

void connection_pool::close_unusable(std::chrono::steady_clock::time_point now)
{
    // Each look costs a system call, and connections that are in use again
    // soon are looked at by take_idle().
    constexpr std::chrono::seconds min_idle_time{1};
    for (auto it = idle_.begin(); it != idle_.end();)
    {
        std::erase_if(it->second, [&](const auto& kept) {
            const auto idle_for = now - kept->idle_since;
            return idle_for >= kept->idle_limit ||
                   (idle_for >= min_idle_time && !is_quiet(kept->stream));
        });
        it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
}

std::size_t connection_pool::idle() const
{
    std::size_t out = 0;
    for (const auto& [address, list] : idle_)
    {
        out += list.size();
    }
    return out;
}

} // namespace hyssoploft::http
