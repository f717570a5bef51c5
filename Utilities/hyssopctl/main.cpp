// Command line of hyssopctl.

#include <LibCore/keyed_hash.hpp>
#include <LibCore/random_source.hpp>
#include <LibCore/text.hpp>
#include <hyssopctl/beast_transport.hpp>
#include <hyssopctl/commands.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <charconv>
#include <chrono>
#include <iostream>
#include <limits>
#include <thread>
#include <utility>

ABSL_FLAG(
    std::vector<std::string>, admin, {},
    "Admin addresses (IP:port) of VMs, separated by commas; the next one is "
    "tried when one does not answer.");
ABSL_FLAG(
    std::vector<std::string>, entry, {},
    "HTTP addresses (IP:port) of entry VMs, for entry-vms.");
ABSL_FLAG(std::string, token_file, "", "File with the operator's token.");
ABSL_FLAG(
    std::string, key_hash_secret_file, "",
    "File with the fleet's secret for hashes of keys, for key create.");
ABSL_FLAG(std::string, f, "", "Declaration file, for apply and diff.");
ABSL_FLAG(bool, dry_run, false, "Only tell what a change would do.");
ABSL_FLAG(
    std::int64_t, from, -1, "Version to watch from; by default the newest.");
ABSL_FLAG(std::uint64_t, count, 0, "Changes to watch; 0: without end.");
ABSL_FLAG(int, timeout_seconds, 35, "Time limit of one exchange.");

namespace {

using namespace hyssoploft;
using ctl::exit_code;

constexpr const char* usage =
    "hyssopctl [flags] COMMAND\n"
    "  apply -f FILE             apply declarations, whole or not at all\n"
    "  diff -f FILE              show what apply would change\n"
    "  get KIND [NAME]           list resources as JSON lines\n"
    "  delete KIND NAME          delete a resource\n"
    "  outcome REQUEST           tell the outcome of an earlier request\n"
    "  watch                     print changes as they happen\n"
    "  key create ACCOUNT NAME   create a key and print it once\n"
    "  key withdraw KEY...       withdraw keys by name or digest\n"
    "  status                    show the fleet and who lags\n"
    "  drain                     take the VM at --admin out of service\n"
    "  entry-vms                 list entry VMs, for callers (--entry)\n";

using arguments = std::vector<std::string>;

exit_code wrong_usage()
{
    std::cerr << usage;
    return exit_code::usage;
}

exit_code run_key(ctl::command_context& to, const arguments& args)
{
    if (args.size() == 4 && args[1] == "create")
    {
        const auto secret =
            core::read_secret_file(absl::GetFlag(FLAGS_key_hash_secret_file));
        if (!secret.ok())
        {
            std::cerr << "--key_hash_secret_file: " << secret.status().message()
                      << "\n";
            return exit_code::usage;
        }
        return ctl::create_key(to, args[2], args[3], *secret);
    }
    if (args.size() >= 3 && args[1] == "withdraw")
    {
        return ctl::withdraw_keys(to, {args.begin() + 2, args.end()});
    }
    return wrong_usage();
}

exit_code run_watch(ctl::command_context& to)
{
    const auto from = absl::GetFlag(FLAGS_from);
    const auto count = absl::GetFlag(FLAGS_count);
    return ctl::watch(
        to,
        from < 0 ? std::nullopt
                 : std::optional(static_cast<std::uint64_t>(from)),
        count == 0 ? std::numeric_limits<std::size_t>::max() : count);
}

exit_code run_command(ctl::command_context& to, const arguments& args)
{
    const auto& name = args[0];
    const auto file = absl::GetFlag(FLAGS_f);
    const auto n = args.size();
    if ((name == "apply" || name == "diff") && n == 1 && !file.empty())
    {
        return name == "apply" ? ctl::apply_file(to, file)
                               : ctl::diff_file(to, file);
    }
    if (name == "get" && (n == 2 || n == 3))
    {
        return ctl::get_resources(to, args[1], n == 3 ? args[2] : "");
    }
    if (name == "delete" && n == 3)
    {
        return ctl::delete_resource(to, args[1], args[2]);
    }
    if (name == "outcome" && n == 2)
    {
        return ctl::show_outcome(to, args[1]);
    }
    if (name == "watch" && n == 1)
    {
        return run_watch(to);
    }
    if (name == "key")
    {
        return run_key(to, args);
    }
    if (name == "status" && n == 1)
    {
        return ctl::show_status(to);
    }
    if (name == "drain" && n == 1)
    {
        return ctl::drain(to);
    }
    if (name == "entry-vms" && n == 1)
    {
        return ctl::show_entry_vms(to);
    }
    return wrong_usage();
}

exit_code run(const arguments& args)
{
    if (args.empty())
    {
        return wrong_usage();
    }
    ctl::client_options options;
    const bool for_callers = args[0] == "entry-vms";
    options.addresses =
        for_callers ? absl::GetFlag(FLAGS_entry) : absl::GetFlag(FLAGS_admin);
    if (options.addresses.empty())
    {
        std::cerr << (for_callers ? "--entry" : "--admin")
                  << " names no address\n";
        return exit_code::usage;
    }
    if (!for_callers)
    {
        auto token = core::read_secret_file(absl::GetFlag(FLAGS_token_file));
        if (!token.ok())
        {
            std::cerr << "--token_file: " << token.status().message() << "\n";
            return exit_code::usage;
        }
        options.token = *std::move(token);
    }
    options.timeout =
        std::chrono::seconds(absl::GetFlag(FLAGS_timeout_seconds));
    options.wait = [](core::duration d) {
        std::this_thread::sleep_for(d);
    };
    ctl::beast_transport transport;
    ctl::admin_client client(transport, std::move(options));
    core::system_random random;
    ctl::command_context context{
        client, random, std::cout, std::cerr, absl::GetFlag(FLAGS_dry_run)};
    return run_command(context, args);
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(usage);
    const auto rest = absl::ParseCommandLine(argc, argv);
    return static_cast<int>(run({rest.begin() + 1, rest.end()}));
}
