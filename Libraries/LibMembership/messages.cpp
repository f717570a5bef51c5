// Validation and encoded size of messages.

#include <LibMembership/messages.hpp>

#include <algorithm>

namespace hyssoploft::membership {

namespace {

constexpr std::size_t max_id_bytes = 64;
constexpr std::size_t max_text_bytes = 128;
// An ack with the records of two VMs must fit in a datagram.
constexpr std::size_t max_vm_text_bytes = 64;
constexpr std::size_t max_list_items = 64;
// For a whole table; a frame of 1 MiB holds no more in practice.
constexpr std::size_t max_rows = 8192;

bool is_valid_id(const std::string& it)
{
    return !it.empty() && it.size() <= max_id_bytes;
}

bool is_valid_text(const std::string& it)
{
    return it.size() <= max_text_bytes;
}

bool is_valid_vm_text(const std::string& it)
{
    return it.size() <= max_vm_text_bytes;
}

bool has_valid_fields(const member_update& it)
{
    return is_valid_id(it.id) &&
           core::name_of(vm_state_names, it.state) != "unknown" &&
           is_valid_vm_text(it.region) && is_valid_vm_text(it.data_center) &&
           is_valid_vm_text(it.http_address) &&
           is_valid_vm_text(it.peer_address);
}

bool is_valid_text_list(const std::vector<std::string>& it)
{
    return it.size() <= max_list_items &&
           std::all_of(it.begin(), it.end(), is_valid_text);
}

bool has_valid_fields(const upstream_update& it)
{
    return is_valid_id(it.id) &&
           core::name_of(upstream_state_names, it.state) != "unknown" &&
           is_valid_text(it.address) && is_valid_text(it.role) &&
           is_valid_text(it.region) && is_valid_text(it.data_center) &&
           is_valid_text_list(it.models) && is_valid_text_list(it.adapters) &&
           is_valid_text(it.version);
}

bool has_valid_fields(const summary_update& it)
{
    return is_valid_id(it.region);
}

bool has_valid_fields(const bucket_renewals& it)
{
    return it.bucket < bucket_count;
}

bool has_valid_fields(const bucket_loads& it)
{
    return it.bucket < bucket_count;
}

template <typename T>
bool is_valid_list(const std::vector<T>& list, std::size_t max_items)
{
    return list.size() <= max_items &&
           std::all_of(list.begin(), list.end(), [](const T& it) {
               return has_valid_fields(it);
           });
}

bool has_valid_fields(const piggyback& it)
{
    return is_valid_list(it.members, max_list_items) &&
           is_valid_list(it.upstreams, max_list_items) &&
           it.withdrawn.size() <= max_list_items &&
           is_valid_list(it.renewals, bucket_count) &&
           is_valid_list(it.loads, bucket_count) &&
           is_valid_list(it.summaries, max_list_items);
}

bool has_valid_fields(const ping& it)
{
    return has_valid_fields(it.self) &&
           (it.target.empty() || is_valid_id(it.target)) &&
           has_valid_fields(it.updates);
}

bool has_valid_fields(const ack& it)
{
    return has_valid_fields(it.self) && is_valid_list(it.probed_member, 1) &&
           has_valid_fields(it.updates);
}

bool has_valid_fields(const ping_request& it)
{
    return has_valid_fields(it.self) && is_valid_id(it.target) &&
           is_valid_text(it.target_address) &&
           is_valid_list(it.target_update, 1);
}

bool has_valid_fields(const state_sync& it)
{
    return has_valid_fields(it.self) &&
           core::name_of(sync_stage_names, it.stage) != "unknown" &&
           it.member_rows.size() <= max_rows &&
           it.upstream_rows.size() <= max_rows &&
           it.wanted_members.size() <= max_rows &&
           it.wanted_upstreams.size() <= max_rows &&
           is_valid_list(it.members, max_rows) &&
           is_valid_list(it.upstreams, max_rows) &&
           it.withdrawn.size() <= max_rows &&
           is_valid_list(it.summaries, max_list_items);
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
            return has_valid_fields(m);
        },
        it);
}

std::uint8_t capability_bits(const upstream_capabilities& it)
{
    return static_cast<std::uint8_t>(
        (it.resume ? 1U : 0U) | (it.cancel ? 2U : 0U) |
        (it.priorities ? 4U : 0U) | (it.kv_export ? 8U : 0U));
}

upstream_capabilities capabilities_from_bits(std::uint8_t bits)
{
    return {
        (bits & 1U) != 0, (bits & 2U) != 0, (bits & 4U) != 0, (bits & 8U) != 0};
}

std::size_t encoded_size(const member_update& it)
{
    constexpr std::size_t fixed_size_bytes = 4;
    return sum_of_sizes(
               it.id, it.incarnation, it.region, it.data_center,
               it.http_address, it.peer_address, it.config_version) +
           fixed_size_bytes;
}

std::size_t encoded_size(const upstream_update& it)
{
    constexpr std::size_t fixed_size_bytes = 2;
    return sum_of_sizes(
               it.id, it.incarnation, it.sequence, it.description_sequence,
               it.address, it.role, it.region, it.data_center, it.models,
               it.adapters, it.version, std::uint64_t{it.capacity}) +
           fixed_size_bytes;
}

std::size_t encoded_size(const summary_update& it)
{
    return sum_of_sizes(
        it.region, std::uint64_t{it.age_ms}, std::uint64_t{it.upstreams},
        it.capacity, it.running, it.queued, it.tokens_per_second);
}

} // namespace hyssoploft::membership
