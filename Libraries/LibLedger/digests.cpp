// SHA-256 over length-prefixed parts.

#include <LibLedger/digests.hpp>

#include <LibCore/keyed_hash.hpp>
#include <LibCore/text.hpp>

namespace hyssoploft::ledger {

namespace {

void append_length_prefixed(std::string& to, std::string_view part)
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
    append_length_prefixed(buf, method);
    append_length_prefixed(buf, path);
    append_length_prefixed(buf, body);
    return core::to_hex(core::sha256(buf));
}

std::string digest_of_answer(const stored_answer& answer)
{
    std::string buf =
        core::concat(answer.status, ",", answer.headers.size(), ",");
    for (const auto& [name, value] : answer.headers)
    {
        append_length_prefixed(buf, name);
        append_length_prefixed(buf, value);
    }
    append_length_prefixed(buf, answer.body);
    return core::to_hex(core::sha256(buf));
}

} // namespace hyssoploft::ledger
