// Guards against calls that are sent to an engine for parts that it dropped.

#include <LibRouting/prompt_cache.hpp>

#include <doctest.h>

using namespace hyssoploft;
using parts = std::vector<routing::prompt_part>;

TEST_CASE("a part counts only if all parts before it are kept")
{
    routing::prompt_cache cache;
    cache.use({{1, 100}, {2, 200}, {3, 50}}, 10'000);
    CHECK(cache.cached_tokens({{1, 100}, {2, 200}, {9, 70}}) == 300);
    CHECK(cache.cached_tokens({{2, 200}, {1, 100}}) == 300);
    CHECK(cache.cached_tokens({{9, 70}, {1, 100}}) == 0);
}

TEST_CASE("the parts that were used least recently yield, shared ones last")
{
    routing::prompt_cache cache;
    cache.use({{1, 100}, {2, 200}, {3, 50}}, 350);
    cache.use({{1, 100}, {4, 150}}, 350);
    // 500 tokens do not fit: the last part of the first prompt goes first.
    CHECK(cache.cached_tokens({{1, 100}, {4, 150}}) == 250);
    CHECK(cache.cached_tokens({{1, 100}, {2, 200}}) == 100);
    cache.clear();
    CHECK(cache.cached_tokens({{1, 100}}) == 0);
}
