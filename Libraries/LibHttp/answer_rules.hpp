#ifndef HYSSOPLOFT_LIBHTTP_ANSWER_RULES_HPP
#define HYSSOPLOFT_LIBHTTP_ANSWER_RULES_HPP

// What makes a head that the parser accepts an answer in HTTP. The parser
// takes any three digits for a status, and any text for a transfer coding.

#include <LibHttp/types.hpp>

#include <absl/status/status.h>

namespace hyssoploft::http {

/// Whether the answer to the request is still to come. False for 101, which
/// ends HTTP on the connection and which no caller here asks for.
bool is_interim_status(unsigned code);

/// DATA_LOSS with what is wrong, if the head is not that of a final answer.
absl::Status check_answer_head(const bhttp::response_header<>& head);

} // namespace hyssoploft::http

#endif
