#ifndef HYSSOPLOFT_LIBGATEWAY_CHAT_REQUEST_HPP
#define HYSSOPLOFT_LIBGATEWAY_CHAT_REQUEST_HPP

// Parsed chat completion request of a caller, and the request body that is sent
// to an upstream.

#include <LibResource/configuration.hpp>

#include <absl/status/statusor.h>
#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoploft::gateway {

class chat_request
{
public:
    static constexpr std::uint32_t default_answer_limit = 1024; ///< Tokens.
    static constexpr std::uint32_t max_answer_limit = 32768;    ///< Tokens.

    /// INVALID_ARGUMENT names the invalid field of a body that is not a chat
    /// completion request of OpenAI's API.
    static absl::StatusOr<chat_request> create(std::string_view body);

    const std::string& model() const
    {
        return model_;
    }

    /// Adapter of a model name "base:adapter"; empty if there is none.
    const std::string& adapter() const
    {
        return adapter_;
    }

    bool stream() const
    {
        return stream_;
    }

    /// Estimated from the length of the prompt.
    std::uint32_t prompt_tokens() const
    {
        return prompt_tokens_;
    }

    /// Maximum number of tokens that an upstream may generate.
    std::uint32_t answer_limit() const
    {
        return answer_limit_;
    }

    /// XXH3 hashes of the prefixes of the prompt, one more block each.
    const std::vector<std::uint64_t>& prefix_hashes() const
    {
        return prefix_hashes_;
    }

    /// The body for an upstream. The answer limit is always set, since the
    /// account's credit was reserved for it.
    std::string upstream_body(resource::priority_class priority) const;

    /// The body for an upstream that continues after the text `delivered`,
    /// which has `tokens` tokens.
    std::string continued_body(
        resource::priority_class priority, std::string_view delivered,
        std::uint32_t tokens) const;

private:
    chat_request() = default;

    absl::Status read_messages();
    absl::Status read_limits();

    boost::json::object body_;
    std::string model_;
    std::string adapter_;
    bool stream_ = false;
    std::uint32_t prompt_tokens_ = 0;
    std::uint32_t answer_limit_ = default_answer_limit;
    std::vector<std::uint64_t> prefix_hashes_; // At most max_prefix_blocks.
};

} // namespace hyssoploft::gateway

#endif
