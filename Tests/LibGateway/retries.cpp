// Guards against retries of calls that may not run twice, and against refusals
// with not_run "true" although an attempt may have run.

#include "gateway_fixture.hpp"

#include <Support/reserved_address.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace hyssoploft::tests;

namespace {

enum class target
{
    chat,
    catalogue,
    booking
};

const reply refused_connection{"refused"}; // Represents a closed port.

struct retry_case
{
    const char* name;
    target what;
    reply first;
    reply second;
    unsigned status;
    const char* not_run;
    std::size_t first_calls;
    std::size_t second_calls;
};

std::string text_of(target it)
{
    if (it == target::chat)
    {
        return chat_text();
    }
    return it == target::booking
               ? booking_text()
               : request_text("GET", "/catalogue", "", key_header());
}

bool is_refused(const reply& it)
{
    return it.bytes == refused_connection.bytes;
}

} // namespace

TEST_CASE("only calls that may run twice are retried")
{
    const reply reset{"", after_reply::reset};
    const reply ok{whole_answer(200, "ok")};
    const reply chat{chat_answer()};
    const reply busy{whole_answer(503, "")};
    const reply large{whole_answer(200, std::string(5 << 20, 'x'))};
    const auto refused = refused_connection;
    const retry_case rows[] = {
        {"chat, refused", target::chat, refused, chat, 200, "", 0, 1},
        {"chat, reset", target::chat, reset, chat, 200, "", 1, 1},
        {"chat, busy", target::chat, busy, chat, 200, "", 1, 1},
        {"chat, reset twice", target::chat, reset, reset, 502, "unknown", 1, 1},
        {"chat, refused twice", target::chat, refused, refused, 502, "true", 0,
         0},
        // The second attempt did not run, but the first one may have.
        {"chat, reset and refused", target::chat, reset, refused, 502,
         "unknown", 1, 0},
        {"chat, refused and reset", target::chat, refused, reset, 502,
         "unknown", 0, 1},
        {"lookup, reset", target::catalogue, reset, ok, 200, "", 1, 1},
        {"lookup, reset and refused", target::catalogue, reset, refused, 502,
         "unknown", 1, 0},
        {"lookup, too large", target::catalogue, large, ok, 502, "false", 1, 0},
        {"order, refused", target::booking, refused, ok, 200, "", 0, 1},
        {"order, reset", target::booking, reset, ok, 504, "unknown", 1, 0},
        {"order, busy", target::booking, busy, ok, 504, "unknown", 1, 0},
        {"order, refused twice", target::booking, refused, refused, 502, "true",
         0, 0},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        gateway_fixture it;
        scripted_upstream second(it.state);
        const reserved_address closed;
        it.upstream.set_replies({row.first});
        second.set_replies({row.second});
        const bool chat_call = row.what == target::chat;
        const std::string role = chat_call ? "engine" : "booking";
        it.add_upstream(
            role, role, "north",
            is_refused(row.first) ? closed.text() : it.upstream.address());
        it.add_upstream(
            role + "-2", role, "north",
            is_refused(row.second) ? closed.text() : second.address());
        const auto got = it.call(text_of(row.what));
        CHECK_EQ(got.status, row.status);
        CHECK_EQ(got.not_run, row.not_run);
        CHECK_EQ(it.calls(), row.first_calls);
        CHECK_EQ(
            it.state.with([&] {
                return second.received.size();
            }),
            row.second_calls);
    }
}

TEST_CASE("attempts are bounded")
{
    gateway_fixture it;
    scripted_upstream second(it.state);
    scripted_upstream third(it.state);
    scripted_upstream fourth(it.state);
    it.upstream.set_replies({{"", after_reply::reset}});
    int n = 2;
    for (auto* other : {&second, &third, &fourth})
    {
        other->set_replies({{"", after_reply::reset}});
        it.add_upstream(
            "engine-" + std::to_string(n++), "engine", "north",
            other->address());
    }
    CHECK_EQ(it.call(chat_text()).status, 502);
    CHECK(it.wait_idle());
    CHECK_EQ(it.routing.chosen.size(), 3);
}
