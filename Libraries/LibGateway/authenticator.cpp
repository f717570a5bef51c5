// Keys are looked up by their keyed hash, so that the duration of a look-up
// leaks nothing about a key; the stored hash is also compared in constant time.

#include <LibGateway/authenticator.hpp>

#include <LibCore/keyed_hash.hpp>
#include <LibCore/text.hpp>
#include <LibHttp/header_policy.hpp>

#include <algorithm>
#include <utility>

namespace hyssoploft::gateway {

namespace {

constexpr std::size_t max_key_bytes = 256;
/// Token bucket of bad keys for each address. The devices of a shop share one
/// address, and one mistyped key must not lock out the others.
constexpr double bad_key_burst = 20;
constexpr double bad_keys_per_second = 0.5;
constexpr std::size_t max_addresses = 8192; // Evicts the oldest beyond.

} // namespace

authenticator::authenticator(std::string secret) : secret_(std::move(secret)) {}

std::variant<identity, refusal> authenticator::authenticate(
    const http::exchange& it, const resource::configuration& declared,
    const control_view& control, core::time_point now)
{
    const auto text = http::caller_key(it.message());
    if (text.empty() || text.size() > max_key_bytes)
    {
        return make_refusal(
            refusal_reason::missing_key,
            "send one key as Authorization: Bearer or x-api-key");
    }
    const std::string address = it.remote().to_string();
    if (!may_try(address, now))
    {
        auto out = make_refusal(
            refusal_reason::too_many_bad_keys,
            "too many unknown keys came from this address");
        out.retry_after = core::from_seconds(1 / bad_keys_per_second);
        return out;
    }
    const std::string digest = core::to_hex(core::hmac_sha256(secret_, text));
    const auto found = declared.key_digests.find(digest);
    const auto key = found == declared.key_digests.end()
                         ? declared.keys.end()
                         : declared.keys.find(found->second);
    if (key == declared.keys.end() ||
        !core::equal_constant_time(key->second.digest, digest))
    {
        count_failure(address, now);
        return make_refusal(refusal_reason::unknown_key, "the key is unknown");
    }
    if (key->second.withdrawn || control.is_withdrawn(digest))
    {
        count_failure(address, now);
        return make_refusal(
            refusal_reason::withdrawn_key, "the key was withdrawn");
    }
    return identity{key->second.account, digest};
}

bool authenticator::may_try(const std::string& address, core::time_point now)
{
    const std::lock_guard lock(mutex_);
    const auto found = credits_by_address_.find(address);
    if (found == credits_by_address_.end())
    {
        return true;
    }
    auto& it = found->second;
    it.credit = std::min(
        bad_key_burst,
        it.credit + core::to_seconds(now - it.updated) * bad_keys_per_second);
    it.updated = now;
    return it.credit >= 1;
}

void authenticator::count_failure(
    const std::string& address, core::time_point now)
{
    const std::lock_guard lock(mutex_);
    const auto [it, added] = credits_by_address_.try_emplace(
        address, bad_key_credit{bad_key_burst, now});
    it->second.credit -= 1;
    if (!added)
    {
        return;
    }
    address_order_.push_back(address);
    if (address_order_.size() > max_addresses)
    {
        credits_by_address_.erase(address_order_.front());
        address_order_.pop_front();
    }
}

} // namespace hyssoploft::gateway
