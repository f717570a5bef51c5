// Sends calls through the LibHttp client.

#include <Load/caller.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace hyssoploft::load {

namespace {

using namespace std::chrono_literals;
namespace json = boost::json;

// Time between two tokens after which a stream counts as cut.
constexpr auto gap_timeout = 15s;
constexpr std::size_t max_error_bytes = 1 << 16;

double seconds_since(caller::clock::time_point then)
{
    return std::chrono::duration<double>(caller::clock::now() - then).count();
}

bool is_order(const arrival& it)
{
    return it.kind == call_kind::order;
}

// Another VM can help: this one is cut off, leaving, or has used up its share
// of the account's rate.
bool may_try_next(const std::string& end)
{
    return end == "connection" || end == "vm_isolated" ||
           end == "shutting_down" || end == "rate_exceeded";
}

// Reason in the data of an error event.
std::string reason_of(const std::string& data)
{
    boost::system::error_code ec;
    const auto parsed = json::parse(data, ec);
    const auto* error = ec || !parsed.is_object()
                            ? nullptr
                            : parsed.get_object().if_contains("error");
    const auto* object = error ? error->if_object() : nullptr;
    const auto* reason = object ? object->if_contains("reason") : nullptr;
    return reason && reason->is_string() ? reason->get_string().c_str()
                                         : "unknown";
}

} // namespace

caller::caller(http::traffic_thread& thread, caller_settings settings)
    : thread_(thread), settings_(std::move(settings)), random_(settings_.seed)
{}

void caller::start(clock::time_point now)
{
    start_ = now;
    for (const auto& [name, it] : settings_.accounts)
    {
        meters_[name] = {
            std::min(
                it.burst_tokens,
                it.tokens_per_second * settings_.credit_seconds),
            now};
    }
}

http::asio::awaitable<bool> caller::refresh()
{
    bool found = false;
    for (const auto region : regions)
    {
        for (const auto& seed : settings_.seed_vms)
        {
            http::request message(
                http::bhttp::verb::get,
                "/v1/entry-vms?region=" + std::string(region), 11);
            const auto it = std::make_shared<http::http_call>(thread_.pool());
            const auto status =
                co_await it->start(seed, std::move(message), false, 500ms);
            if (!status.ok())
            {
                continue;
            }
            const auto body = co_await it->read_all(max_error_bytes, 500ms);
            boost::system::error_code ec;
            const auto parsed =
                json::parse(body.ok() ? *body : std::string(), ec);
            if (ec || !parsed.is_object())
            {
                continue;
            }
            std::vector<entry_vm> list;
            for (const auto& vm : parsed.at("vms").as_array())
            {
                list.push_back(
                    {vm.at("address").as_string().c_str(),
                     vm.at("region").as_string().c_str()});
            }
            entry_vms_[std::string(region)] = std::move(list);
            found = true;
            break;
        }
    }
    co_return found;
}

std::vector<std::string> caller::vms_for(const arrival& call)
{
    const std::string region(regions[call.region]);
    auto list = entry_vms_[region];
    // Many callers share this list: each takes one of its region's VMs.
    const auto middle = std::stable_partition(
        list.begin(), list.end(), [&](const entry_vm& it) {
            return it.region == region;
        });
    std::shuffle(list.begin(), middle, random_);
    std::shuffle(middle, list.end(), random_);
    // A VM of another region refuses a call that is bound to this one.
    if (call.bound)
    {
        list.erase(middle, list.end());
    }
    std::vector<std::string> out;
    for (const auto& it : list)
    {
        if (out.size() < settings_.tries)
        {
            out.push_back(it.address);
        }
    }
    return out;
}

double& caller::credit_of(const arrival& call)
{
    const std::string name(account_names[call.account]);
    const auto& access = settings_.accounts.at(name);
    meter& it = meters_[name];
    const double passed = seconds_since(it.updated);
    it.updated = clock::now();
    it.credit = std::min(
        access.burst_tokens, it.credit + passed * access.tokens_per_second);
    return it.credit;
}

std::string caller::key_for(const arrival& call) const
{
    const auto& it =
        settings_.accounts.at(std::string(account_names[call.account]));
    return seconds_since(start_) < settings_.key_change_at ? it.first_key
                                                           : it.second_key;
}

http::request
caller::message_for(const arrival& call, const std::string& vm) const
{
    http::request out(
        http::bhttp::verb::post,
        is_order(call) ? "/bookings" : "/v1/chat/completions", 11);
    out.set(http::bhttp::field::host, vm);
    out.set(http::bhttp::field::authorization, "Bearer " + key_for(call));
    out.set(http::bhttp::field::content_type, "application/json");
    json::object body;
    if (is_order(call))
    {
        out.set(
            "idempotency-key", "load-" + std::to_string(settings_.seed) + "-" +
                                   std::to_string(call.number));
        body["slot"] = call.number;
    }
    else
    {
        body["model"] = model_of(call);
        body["stream"] = true;
        body["max_tokens"] = call.answer_tokens;
        json::object text;
        text["role"] = "user";
        text["content"] = prompt_of(call);
        body["messages"] = json::array{std::move(text)};
    }
    out.body() = json::serialize(body);
    return out;
}

http::asio::awaitable<call_record> caller::send(const arrival& call)
{
    const auto arrived = clock::now();
    call_record out;
    const double wanted = call.prompt_tokens + call.answer_tokens;
    double& credit = credit_of(call);
    out.within_rate = is_order(call) || credit >= wanted;
    for (const auto& vm : vms_for(call))
    {
        ++out.tries;
        const bool again = co_await attempt(call, vm, arrived, out);
        if (!again)
        {
            break;
        }
    }
    if (out.tries == 0)
    {
        out.end = "no_entry_vm";
    }
    if (out.completed && !is_order(call))
    {
        credit_of(call) -= wanted;
    }
    co_return out;
}

http::asio::awaitable<bool> caller::attempt(
    const arrival& call, const std::string& vm, clock::time_point arrived,
    call_record& out)
{
    auto message = message_for(call, vm);
    out.bytes = message.body().size();
    const auto it = std::make_shared<http::http_call>(thread_.pool());
    const std::chrono::nanoseconds timeout(
        static_cast<std::int64_t>(settings_.answer_seconds * 1e9));
    const auto status =
        co_await it->start(vm, std::move(message), false, timeout);
    if (!status.ok())
    {
        out.end = absl::IsDeadlineExceeded(status) ? "timeout" : "connection";
        // An order that was sent may have run; its key makes a repeat safe.
        co_return may_try_next(out.end);
    }
    if (it->head().result_int() != 200)
    {
        out.end = http::header_value(it->head(), "x-hyssoploft-reason");
        if (out.end.empty())
        {
            out.end = "status_" + std::to_string(it->head().result_int());
        }
        (void)co_await it->read_all(max_error_bytes, 5s);
        co_return may_try_next(out.end);
    }
    if (is_order(call))
    {
        const auto body = co_await it->read_all(max_error_bytes, 5s);
        out.completed = body.ok();
        out.end = body.ok() ? "" : "cut_stream";
        out.first_token = seconds_since(arrived);
        co_return false;
    }
    out.end = "cut_stream";
    co_await read_events(*it, arrived, out);
    out.bytes = std::max(out.bytes, it->bytes());
    co_return false;
}

http::asio::awaitable<void> caller::read_events(
    http::http_call& it, clock::time_point arrived, call_record& out)
{
    http::sse_parser parser;
    double last = 0;
    for (;;)
    {
        const auto piece = co_await it.read_some(gap_timeout);
        std::vector<http::sse_event> events;
        if (!piece.ok() || piece->empty() || !parser.feed(*piece, events).ok())
        {
            co_return;
        }
        for (const auto& event : events)
        {
            if (event.type == "error")
            {
                out.end = "event_" + reason_of(event.data);
                continue;
            }
            if (event.data == "[DONE]")
            {
                out.completed = true;
                out.end.clear();
                continue;
            }
            const double now = seconds_since(arrived);
            if (out.first_token == 0)
            {
                out.first_token = now;
                boost::system::error_code ec;
                const auto chunk = json::parse(event.data, ec);
                const auto* from =
                    ec ? nullptr
                       : chunk.as_object().if_contains("system_fingerprint");
                out.ran_in = from ? from->as_string().c_str() : "";
            }
            else
            {
                out.gaps.push_back(now - last);
            }
            last = now;
        }
    }
}

} // namespace hyssoploft::load
