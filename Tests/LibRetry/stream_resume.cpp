// Guards against tokens that are lost, repeated or reordered when a stream is
// resumed, and against a truncated answer that looks complete.

#include <LibRetry/stream_resume.hpp>

#include <Support/seeded_property.hpp>

#include <doctest.h>

#include <string>
#include <vector>

using namespace hyssoploft;
using namespace hyssoploft::retry;

namespace {

/// An upstream that sends the tokens of an answer in pieces of random size.
class scripted_engine
{
public:
    explicit scripted_engine(std::vector<std::string> tokens)
        : tokens_(std::move(tokens))
    {}

    /// Sends the tokens from `next_token` to before `end_token` and appends the
    /// text that the caller gets to `received`.
    void send(
        stream_resume& stream, std::size_t next_token, std::size_t end_token,
        std::string& received) const
    {
        while (next_token < end_token)
        {
            const std::size_t n =
                *rc::gen::inRange<std::size_t>(1, end_token - next_token + 1);
            std::string piece;
            for (std::size_t i = next_token; i < next_token + n; ++i)
            {
                piece += tokens_[i];
            }
            received +=
                stream.accept(piece, static_cast<std::uint32_t>(n)).text;
            next_token += n;
        }
    }

    std::size_t size() const
    {
        return tokens_.size();
    }

private:
    std::vector<std::string> tokens_;
};

} // namespace

TEST_CASE("a resumed stream delivers each token exactly once")
{
    CHECK(tests::holds(21, 500, [] {
        const auto tokens =
            *rc::gen::nonEmpty(rc::gen::container<std::vector<std::string>>(
                rc::gen::nonEmpty<std::string>()));
        std::string answer;
        for (const auto& it : tokens)
        {
            answer += it;
        }
        const scripted_engine engine(tokens);
        stream_resume stream;
        std::string received;
        std::size_t next_token = 0;
        std::size_t delivered_tokens = 0;
        for (int failures = *rc::gen::inRange(0, 4); failures > 0; --failures)
        {
            // May fail again while it still repeats delivered text.
            const auto end_token =
                *rc::gen::inRange<std::size_t>(next_token, engine.size() + 1);
            engine.send(stream, next_token, end_token, received);
            delivered_tokens = std::max(delivered_tokens, end_token);
            stream.broken();
            RC_ASSERT(stream.progress().tokens == delivered_tokens);
            RC_ASSERT(stream.progress().bytes == received.size());
            const bool resumes_exactly = *rc::gen::arbitrary<bool>();
            next_token = resumes_exactly ? delivered_tokens : 0;
            RC_ASSERT(stream.resume(static_cast<std::uint32_t>(next_token)));
        }
        engine.send(stream, next_token, engine.size(), received);
        stream.end();
        RC_ASSERT(stream.state() == stream_state::finished);
        RC_ASSERT(received == answer);
        RC_ASSERT(stream.progress().tokens == engine.size());
    }));
}

TEST_CASE("repeated text that differs is a mismatch and ends delivery")
{
    stream_resume stream;
    CHECK_EQ(stream.accept("nine dings, ", 3).text, "nine dings, ");
    stream.broken();
    REQUIRE(stream.resume(0));
    CHECK_EQ(stream.accept("nine ", 1).text, "");
    CHECK_EQ(stream.accept("fins, ", 2).text, "");
    CHECK_EQ(stream.state(), stream_state::mismatched);
    CHECK_EQ(stream.accept("one more", 2).text, "");
    stream.end();
    CHECK_EQ(stream.state(), stream_state::mismatched);
    CHECK_FALSE(stream.resumable());
    CHECK_EQ(
        stream.describe(),
        "stream mismatched after 3 tokens (12 bytes) and 1 resumes");
}

TEST_CASE("an end marker before all delivered text is repeated is a mismatch")
{
    stream_resume stream;
    stream.accept("one two", 2);
    stream.broken();
    REQUIRE(stream.resume(0));
    stream.accept("one", 1);
    stream.end();
    CHECK_EQ(stream.state(), stream_state::mismatched);
}

TEST_CASE("a piece with delivered and new text is delivered only in part")
{
    stream_resume stream;
    stream.accept("one ", 1);
    stream.broken();
    REQUIRE(stream.resume(0));
    const stream_step received = stream.accept("one two", 2);
    CHECK_EQ(received.text, "two");
    CHECK_EQ(received.tokens, 1);
}

TEST_CASE("a stream without its end marker is never finished")
{
    stream_resume stream;
    stream.accept("one", 1);
    CHECK_EQ(stream.state(), stream_state::streaming);
    stream.broken();
    stream.end();
    CHECK_EQ(stream.state(), stream_state::broken);
}

TEST_CASE("a stream above the size bound is delivered but can't be resumed")
{
    stream_resume stream(8);
    CHECK_EQ(stream.accept("12345678", 2).text, "12345678");
    CHECK_EQ(stream.accept("9", 1).text, "9");
    stream.broken();
    CHECK_FALSE(stream.resumable());
    CHECK_FALSE(stream.resume(0));
    CHECK_EQ(stream.progress().tokens, 3);
}

TEST_CASE("a resume position must be a boundary of delivered pieces")
{
    stream_resume stream;
    stream.accept("one two ", 2);
    stream.accept("three", 1);
    stream.broken();
    CHECK_FALSE(stream.resume(1));
    CHECK_FALSE(stream.resume(4));
    CHECK(stream.resume(2));
    CHECK_EQ(stream.accept("three four", 2).text, " four");
}
