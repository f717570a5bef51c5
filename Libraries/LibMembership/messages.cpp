// Validation and encoded size of messages.

#include <LibMembership/messages.hpp>

#include <algorithm>

namespace hyssoploft::membership {

namespace {

constexpr std::size_t max_id_bytes = 64;
constexpr std::size_t max_text_bytes = 128;
// An ack with the records of two VMs must fit in a datagram.
constexpr std::size_t max_vm_text_bytes = 64;
constexpr std::size_t max_list = 64;
// For a whole table; a frame of 1 MiB holds no more in practice.
constexpr std::size_t max_rows = 8192;

bool valid_id(const std::string& it)
{
    return !it.empty() && it.size() <= max_id_bytes;
}

bool valid_text(const std::string& it)
{
    return it.size() <= max_text_bytes;
}

bool valid_vm_text(const std::string& it)
{
    return it.size() <= max_vm_text_bytes;
}

bool valid(const member_update& it)
{
    return valid_id(it.id) &&
           core::name_of(vm_state_names, it.state) != "unknown" &&
           valid_vm_text(it.region) && valid_vm_text(it.data_center) &&
           valid_vm_text(it.http_address) && valid_vm_text(it.peer_address);
}

bool valid_texts(const std::vector<std::string>& it)
{
    return it.size() <= max_list &&
           std::all_of(it.begin(), it.end(), valid_text);
}

bool valid(const upstream_update& it)
{
    return valid_id(it.id) &&
           core::name_of(upstream_state_names, it.state) != "unknown" &&
           valid_text(it.address) && valid_text(it.role) &&
           valid_text(it.region) && valid_text(it.data_center) &&
           valid_texts(it.models) && valid_texts(it.adapters) &&
           valid_text(it.version);
}

bool valid(const summary_update& it)
{
    return valid_id(it.region);
}

bool valid(const bucket_renewals& it)
{
    return it.bucket < bucket_count;
}

bool valid(const bucket_loads& it)
{
    return it.bucket < bucket_count;
}

template <typename T>
bool all_valid(const std::vector<T>& list, std::size_t bound)
{
    return list.size() <= bound &&
           std::all_of(list.begin(), list.end(), [](const T& it) {
               return valid(it);
           });
}

bool valid(const piggyback& it)
{
    return all_valid(it.members, max_list) &&
           all_valid(it.upstreams, max_list) &&
           it.withdrawn.size() <= max_list &&
           all_valid(it.renewals, bucket_count) &&
           all_valid(it.loads, bucket_count) &&
           all_valid(it.summaries, max_list);
}

bool valid(const ping& it)
{
    return valid(it.self) && (it.target.empty() || valid_id(it.target)) &&
           valid(it.news);
}

bool valid(const ack& it)
{
    return valid(it.self) && all_valid(it.on_behalf, 1) && valid(it.news);
}

bool valid(const ping_request& it)
{
    return valid(it.self) && valid_id(it.target) &&
           valid_text(it.target_address) && all_valid(it.belief, 1);
}

bool valid(const state_sync& it)
{
    return valid(it.self) &&
           core::name_of(sync_stage_names, it.stage) != "unknown" &&
           it.member_rows.size() <= max_rows &&
           it.upstream_rows.size() <= max_rows &&
           it.wanted_members.size() <= max_rows &&
           it.wanted_upstreams.size() <= max_rows &&
           all_valid(it.members, max_rows) &&
           all_valid(it.upstreams, max_rows) &&
           it.withdrawn.size() <= max_rows && all_valid(it.summaries, max_list);
}

std::size_t size_of(std::uint64_t n)
{
    std::size_t bytes = 1;
    for (; n >= 0x80; n >>= 7)
    {
        ++bytes;
    }
    return bytes;
}

std::size_t size_of(const std::string& it)
{
    return size_of(it.size()) + it.size();
}

std::size_t size_of(const std::vector<std::string>& list)
{
    auto n = size_of(list.size());
    for (const auto& it : list)
    {
        n += size_of(it);
    }
    return n;
}

template <typename... Fields>
std::size_t sum_of_sizes(const Fields&... fields)
{
    return (size_of(fields) + ...);
}

} // namespace

bool is_valid(const message& it)
{
    return std::visit(
        [](const auto& m) {
            return valid(m);
        },
        it);
}

std::uint8_t capability_bits(const upstream_capabilities& it)
{
    return static_cast<std::uint8_t>(
        (it.resume ? 1U : 0U) | (it.cancel ? 2U : 0U) |
        (it.priorities ? 4U : 0U) | (it.kv_export ? 8U : 0U));
}

upstream_capabilities capabilities_from(std::uint8_t bits)
{
    return {
        (bits & 1U) != 0, (bits & 2U) != 0, (bits & 4U) != 0, (bits & 8U) != 0};
}

std::size_t encoded_size(const member_update& it)
{
    constexpr std::size_t single_bytes = 4;
    return sum_of_sizes(
               it.id, it.incarnation, it.region, it.data_center,
               it.http_address, it.peer_address, it.config_version) +
           single_bytes;
}

std::size_t encoded_size(const upstream_update& it)
{
    constexpr std::size_t single_bytes = 2;
    return sum_of_sizes(
               it.id, it.incarnation, it.sequence, it.described, it.address,
               it.role, it.region, it.data_center, it.models, it.adapters,
               it.version, std::uint64_t{it.capacity}) +
           single_bytes;
}

std::size_t encoded_size(const summary_update& it)
{
    return sum_of_sizes(
        it.region, std::uint64_t{it.age_ms}, std::uint64_t{it.upstreams},
        it.capacity, it.running, it.queued, it.tokens_per_second);
}

} // namespace hyssoploft::membership
