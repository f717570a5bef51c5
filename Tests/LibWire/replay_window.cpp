// Guards against datagrams that are handled twice, and against a restarted
// sender that is shut out.

#include <LibWire/replay_window.hpp>

#include <doctest.h>
#include <rapidcheck.h>

#include <set>

using namespace hyssoploft;
using wire::drop_reason;

TEST_CASE("sequences and incarnations in a table")
{
    struct step
    {
        const char* what;
        std::uint64_t incarnation;
        std::uint64_t sequence;
        std::optional<drop_reason> expected;
    };
    const step steps[] = {
        {"first", 5, 10, {}},
        {"again", 5, 10, drop_reason::replayed},
        {"late", 5, 3, {}},
        {"late again", 5, 3, drop_reason::replayed},
        {"no sequence", 5, 0, drop_reason::replayed},
        {"jump", 5, 10000, {}},
        {"edge of the window", 5, 10000 - 255, {}},
        {"behind the window", 5, 10000 - 256, drop_reason::replayed},
        {"restarted sender", 6, 1, {}},
        {"replayed after restart", 6, 1, drop_reason::replayed},
        {"former life", 5, 10001, drop_reason::stale_incarnation},
    };
    wire::replay_window window;
    for (const auto& it : steps)
    {
        CAPTURE(it.what);
        CHECK(window.check("vm1", it.incarnation, it.sequence) == it.expected);
    }
    CHECK_FALSE(window.check("vm2", 1, 1).has_value());
}

TEST_CASE("the number of senders is bounded")
{
    wire::replay_window window(2);
    CHECK_FALSE(window.check("a", 1, 1).has_value());
    CHECK_FALSE(window.check("b", 1, 1).has_value());
    CHECK(window.check("c", 1, 1) == drop_reason::too_many_senders);
    window.forget("a");
    CHECK_FALSE(window.check("c", 1, 1).has_value());
}

TEST_CASE("no sequence is accepted twice in any order")
{
    CHECK(rc::check("at most once", [](std::vector<std::uint16_t> sequences) {
        wire::replay_window window;
        std::set<std::uint16_t> accepted;
        for (const auto it : sequences)
        {
            if (!window.check("a", 1, it))
            {
                RC_ASSERT(accepted.insert(it).second);
            }
        }
    }));
}
