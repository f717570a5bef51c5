// Guards against tokens that are lost, doubled or mixed up when a stream is
// resumed, and against a truncated answer that looks complete.

#include <LibRetry/stream_resume.hpp>

#include <Support/seeded_property.hpp>

#include <doctest.h>

#include <string>
#include <vector>

using namespace hyssoploft;
using namespace hyssoploft::retry;

namespace {

/// An engine that sends tokens of an answer in pieces of random size.
class scripted_engine
{
public:
    explicit scripted_engine(std::vector<std::string> tokens)
        : tokens_(std::move(tokens))
    {}

    /// Sends from `at` up to `until`, appends what the caller gets.
    void send(
        stream_resume& stream, std::size_t at, std::size_t until,
        std::string& got) const
    {
        while (at < until)
        {
            const std::size_t n =
                *rc::gen::inRange<std::size_t>(1, until - at + 1);
            std::string piece;
            for (std::size_t i = at; i < at + n; ++i)
            {
                piece += tokens_[i];
            }
            got += stream.accept(piece, static_cast<std::uint32_t>(n)).text;
            at += n;
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
        std::string got;
        std::size_t at = 0;
        std::size_t delivered = 0;
        for (int breaks = *rc::gen::inRange(0, 4); breaks > 0; --breaks)
        {
            // It may break again while it still repeats.
            const auto until =
                *rc::gen::inRange<std::size_t>(at, engine.size() + 1);
            engine.send(stream, at, until, got);
            delivered = std::max(delivered, until);
            stream.broken();
            RC_ASSERT(stream.progress().tokens == delivered);
            RC_ASSERT(stream.progress().bytes == got.size());
            const bool exactly = *rc::gen::arbitrary<bool>();
            at = exactly ? delivered : 0;
            RC_ASSERT(stream.resume(static_cast<std::uint32_t>(at)));
        }
        engine.send(stream, at, engine.size(), got);
        stream.end();
        RC_ASSERT(stream.state() == stream_state::finished);
        RC_ASSERT(got == answer);
        RC_ASSERT(stream.progress().tokens == engine.size());
    }));
}

TEST_CASE("a repeat that differs is a mismatch and nothing more is delivered")
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

TEST_CASE("an end before the repeat is complete is a mismatch")
{
    stream_resume stream;
    stream.accept("one two", 2);
    stream.broken();
    REQUIRE(stream.resume(0));
    stream.accept("one", 1);
    stream.end();
    CHECK_EQ(stream.state(), stream_state::mismatched);
}

TEST_CASE("a piece across the point of the break is cut")
{
    stream_resume stream;
    stream.accept("one ", 1);
    stream.broken();
    REQUIRE(stream.resume(0));
    const stream_step got = stream.accept("one two", 2);
    CHECK_EQ(got.text, "two");
    CHECK_EQ(got.tokens, 1);
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

TEST_CASE("a stream longer than the bound is delivered but not resumed")
{
    stream_resume stream(8);
    CHECK_EQ(stream.accept("12345678", 2).text, "12345678");
    CHECK_EQ(stream.accept("9", 1).text, "9");
    stream.broken();
    CHECK_FALSE(stream.resumable());
    CHECK_FALSE(stream.resume(0));
    CHECK_EQ(stream.progress().tokens, 3);
}

TEST_CASE("a resume position must be a known one")
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
