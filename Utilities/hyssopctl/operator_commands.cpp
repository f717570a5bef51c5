// Shows the state of the fleet and drains a VM.

#include <hyssopctl/commands.hpp>

#include <LibCore/text.hpp>

namespace hyssoploft::ctl {

using namespace resource;

namespace {

/// The response of type T, or an error that was printed.
template <typename T>
absl::StatusOr<T> parse_reply(const absl::StatusOr<http_reply>& reply)
{
    if (!reply.ok())
    {
        return reply.status();
    }
    if (reply->status != 200)
    {
        return absl::UnavailableError(error_text(*reply));
    }
    return from_json_text<T>(reply->body);
}

} // namespace

exit_code show_status(command_context& to)
{
    const auto it =
        parse_reply<status_response>(to.client.get(admin_path::status));
    if (!it.ok())
    {
        return fail(to, std::string(it.status().message()));
    }
    to.out << "vm: " << it->vm
           << "\nleader: " << (it->leader.empty() ? "none known" : it->leader)
           << "\nterm: " << it->term << "\ncommit index: " << it->commit_index
           << "\nversion: " << it->version
           << "\nin force everywhere: " << it->everywhere
           << "\nuncommitted withdrawals: " << it->uncommitted_withdrawals
           << "\nexecution records: " << it->ledger_records << "\n";
    for (const auto& vm : it->vms)
    {
        to.out << "  " << vm.id << " " << vm.region << " " << vm.state
               << " version " << vm.version << (vm.control ? " control" : "")
               << "\n";
    }
    for (const auto& vm : it->lacking)
    {
        to.out << "lacks version " << it->version << ": " << vm << "\n";
    }
    return exit_code::done;
}

exit_code drain(command_context& to)
{
    // With several addresses the next VM would be drained as well when an
    // answer is lost.
    if (to.client.address_count() != 1)
    {
        to.err << "drain needs exactly one address in --admin\n";
        return exit_code::usage;
    }
    const auto it =
        parse_reply<drain_response>(to.client.post(admin_path::drain, "{}"));
    if (!it.ok())
    {
        return fail(to, std::string(it.status().message()));
    }
    to.out << it->vm << " takes no new work; running: " << it->running << "\n";
    return exit_code::done;
}

exit_code show_entry_vms(command_context& to)
{
    const auto it =
        parse_reply<entry_vm_list>(to.client.get(admin_path::entry_vms));
    if (!it.ok())
    {
        return fail(to, std::string(it.status().message()));
    }
    for (const auto& vm : it->vms)
    {
        to.out << vm.address << " " << vm.id << " " << vm.region << " "
               << vm.data_center << "\n";
    }
    to.err << "valid for " << it->lifetime_seconds << " s\n";
    return exit_code::done;
}

} // namespace hyssoploft::ctl
