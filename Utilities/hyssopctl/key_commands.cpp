// Creates and withdraws callers' keys.

#include <hyssopctl/commands.hpp>

#include <LibCore/keyed_hash.hpp>
#include <LibCore/text.hpp>
#include <LibResource/validation.hpp>

#include <sstream>

namespace hyssoploft::ctl {

using namespace resource;

namespace {

// 256 random bits.
constexpr std::size_t key_words = 4;

// Lets scanners for leaked secrets recognise a key.
constexpr std::string_view key_prefix = "hyssop_";

std::string make_caller_key(core::random_source& random)
{
    std::string bytes;
    for (std::size_t n = 0; n < key_words; ++n)
    {
        const auto word = random.next();
        bytes.append(reinterpret_cast<const char*>(&word), sizeof word);
    }
    return core::concat(key_prefix, core::to_hex(bytes));
}

} // namespace

exit_code create_key(
    command_context& to, const std::string& account, const std::string& name,
    const std::string& hash_secret)
{
    if (!is_valid_name(account) || !is_valid_name(name))
    {
        to.err << "wrong name of an account or key\n";
        return exit_code::usage;
    }
    const auto secret = make_caller_key(to.random);
    key it;
    it.name = name;
    it.account = account;
    it.digest = core::to_hex(core::hmac_sha256(hash_secret, secret));
    change created{{resource_kind::key, name}, it, std::uint64_t{0}};
    std::ostringstream report;
    command_context quiet{to.client, to.random, report, to.err, to.dry_run};
    const auto code = send_changes(quiet, {created});
    to.err << report.str();
    // Only a key that is in force is shown, and on standard output alone.
    if (code == exit_code::done && !to.dry_run)
    {
        to.out << secret << "\n";
    }
    else if (code == exit_code::failed)
    {
        to.err << "the key is not shown; if key/" << name
               << " exists now, delete it and create another\n";
    }
    return code;
}

exit_code withdraw_keys(
    command_context& to, const std::vector<std::string>& names_or_digests)
{
    withdraw_request request;
    for (const auto& it : names_or_digests)
    {
        if (!is_valid_digest(it) && !is_valid_name(it))
        {
            to.err << "neither a key's name nor a digest\n";
            return exit_code::usage;
        }
        (is_valid_digest(it) ? request.digests : request.names).push_back(it);
    }
    if (names_or_digests.empty())
    {
        to.err << "name a key\n";
        return exit_code::usage;
    }
    request.request_id = make_request_id(to.random);
    const auto reply =
        to.client.post(admin_path::withdraw, to_json_text(request));
    if (!reply.ok())
    {
        return fail(to, std::string(reply.status().message()));
    }
    const auto result = from_json_text<withdraw_response>(reply->body);
    if (!result.ok() || reply->status != 200)
    {
        return fail(to, error_text(*reply));
    }
    to.out << "withdrawn: " << result->accepted
           << ", committed so far: " << result->committed << "\n";
    return exit_code::done;
}

} // namespace hyssoploft::ctl
