// Guards against choosing an engine for prompt parts that it has evicted.

#include <LibRouting/prompt_cache.hpp>

#include <doctest.h>

using namespace hyssoploft;
using parts = std::vector<routing::prompt_part>;

TEST_CASE("a part counts only if all parts before it are cached")
{
    routing::prompt_cache cache;
    cache.add_prompt({{1, 100}, {2, 200}, {3, 50}}, 10'000);
    CHECK(cache.cached_tokens({{1, 100}, {2, 200}, {9, 70}}) == 300);
    CHECK(cache.cached_tokens({{2, 200}, {1, 100}}) == 300);
    CHECK(cache.cached_tokens({{9, 70}, {1, 100}}) == 0);
}

TEST_CASE("the least recently used parts are evicted first, shared ones last")
{
    routing::prompt_cache cache;
    cache.add_prompt({{1, 100}, {2, 200}, {3, 50}}, 350);
    cache.add_prompt({{1, 100}, {4, 150}}, 350);
    // 500 tokens don't fit: the last part of the first prompt is evicted first.
    CHECK(cache.cached_tokens({{1, 100}, {4, 150}}) == 250);
    CHECK(cache.cached_tokens({{1, 100}, {2, 200}}) == 100);
    cache.clear();
    CHECK(cache.cached_tokens({{1, 100}}) == 0);
}
