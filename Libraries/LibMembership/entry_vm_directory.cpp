// Ranks VMs by distance, then by the rendezvous hash of caller and VM.

#include <LibMembership/entry_vm_directory.hpp>

#include <LibMembership/table_hash.hpp>

#include <algorithm>
#include <tuple>

namespace hyssoploft::membership {

entry_vm_list
find_entry_vms(const fleet_view& view, const directory_query& query)
{
    struct candidate
    {
        int distance = 0;
        std::uint64_t hash = 0;
        const vm_record* vm = nullptr;
    };
    const auto caller = hash_text(query.caller);
    std::vector<candidate> candidates;
    for (const auto& [id, vm] : view.vms)
    {
        const bool is_isolated =
            vm.isolated || (id == view.self && view.isolated);
        if (vm.state != vm_state::alive || vm.overloaded || is_isolated)
        {
            continue;
        }
        const bool same_region = vm.region == query.region;
        const int distance =
            !same_region ? 2 : (vm.data_center == query.data_center ? 0 : 1);
        candidates.push_back(
            {distance, combine_hash(caller, hash_text(id)), &vm});
    }
    std::sort(
        candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
            return std::tie(a.distance, a.hash) < std::tie(b.distance, b.hash);
        });
    entry_vm_list out;
    for (const auto& it : candidates)
    {
        if (out.vms.size() >= query.limit)
        {
            break;
        }
        out.vms.push_back(
            {it.vm->id, it.vm->http_address, it.vm->region,
             it.vm->data_center});
    }
    return out;
}

} // namespace hyssoploft::membership
