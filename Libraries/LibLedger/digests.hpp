#ifndef HYSSOPLOFT_LIBLEDGER_DIGESTS_HPP
#define HYSSOPLOFT_LIBLEDGER_DIGESTS_HPP

// Digests of calls and answers, so that the log contains no key, prompt or
// answer. Each part is prefixed with its length, so that moving a byte from one
// part to the next changes the digest.

#include <LibLedger/ledger_client.hpp>

#include <string>
#include <string_view>

namespace hyssoploft::ledger {

/// SHA-256 of an Idempotency-Key, in hexadecimal.
std::string digest_of_key(std::string_view idempotency_key);

/// SHA-256 of method, path with query, and body, in hexadecimal.
std::string digest_of_call(
    std::string_view method, std::string_view path, std::string_view body);

/// SHA-256 of status, headers in their order, and body, in hexadecimal.
std::string digest_of_answer(const stored_answer& answer);

} // namespace hyssoploft::ledger

#endif
