// Hashes length-prefixed parts.

#include <LibLedger/digests.hpp>

#include <LibCore/keyed_hash.hpp>
#include <LibCore/text.hpp>

namespace hyssoploft::ledger {

namespace {

void append_part(std::string& to, std::string_view part)
{
    to += core::concat(part.size(), ":", part);
}

} // namespace

std::string digest_of_key(std::string_view idempotency_key)
{
    return core::to_hex(core::sha256(idempotency_key));
}

std::string digest_of_call(
    std::string_view method, std::string_view path, std::string_view body)
{
    std::string buf;
    append_part(buf, method);
    append_part(buf, path);
    append_part(buf, body);
    return core::to_hex(core::sha256(buf));
}

std::string digest_of_answer(const stored_answer& answer)
{
    std::string buf =
        core::concat(answer.status, ",", answer.headers.size(), ",");
    for (const auto& [name, value] : answer.headers)
    {
        append_part(buf, name);
        append_part(buf, value);
    }
    append_part(buf, answer.body);
    return core::to_hex(core::sha256(buf));
}

} // namespace hyssoploft::ledger
