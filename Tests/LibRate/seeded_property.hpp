#ifndef HYSSOPLOFT_TESTS_LIBRATE_SEEDED_PROPERTY_HPP
#define HYSSOPLOFT_TESTS_LIBRATE_SEEDED_PROPERTY_HPP

// Runs a rapidcheck property from a fixed seed and prints the smallest
// counterexample.

#include <rapidcheck.h>

#include <iostream>

namespace hyssoploft::tests {

template <typename Testable>
bool holds(std::uint64_t seed, int runs, int size, Testable&& testable)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = runs;
    params.maxSize = size;
    const auto result = rc::detail::checkTestable(
        std::forward<Testable>(testable), rc::detail::TestMetadata(), params);
    if (result.template is<rc::detail::SuccessResult>())
    {
        return true;
    }
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << '\n';
    return false;
}

} // namespace hyssoploft::tests

#endif
