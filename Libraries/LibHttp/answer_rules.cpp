// Classes of statuses by their numbers (RFC 9110, section 15), and framing.

#include <LibHttp/answer_rules.hpp>

#include <LibCore/text.hpp>
#include <LibHttp/transfer_coding.hpp>

namespace hyssoploft::http {

namespace {

constexpr unsigned first_interim = 100;
constexpr unsigned switching_protocols = 101;
constexpr unsigned first_final = 200;
constexpr unsigned last_final = 599;

} // namespace

bool is_interim_status(unsigned code)
{
    return code >= first_interim && code < first_final &&
           code != switching_protocols;
}

absl::Status check_answer_head(const bhttp::response_header<>& head)
{
    const auto code = head.result_int();
    if (code < first_final || code > last_final)
    {
        return absl::DataLossError(
            core::concat("status ", code, " is none of an answer"));
    }
    const auto coding = check_transfer_coding(head, head.version());
    return coding.ok() ? coding : absl::DataLossError(coding.message());
}

} // namespace hyssoploft::http
