#ifndef HYSSOPLOFT_TESTS_SUPPORT_SEEDED_PROPERTY_HPP
#define HYSSOPLOFT_TESTS_SUPPORT_SEEDED_PROPERTY_HPP

// Runs a rapidcheck property with a fixed seed, so that every run checks the
// same cases.

#include <rapidcheck.h>

#include <cstdint>
#include <iostream>
#include <utility>

namespace hyssoploft::tests {

template <typename Testable>
bool holds(std::uint64_t seed, int cases, Testable&& property)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = cases;
    const auto result = rc::detail::checkTestable(
        std::forward<Testable>(property), rc::detail::TestMetadata(), params);
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
