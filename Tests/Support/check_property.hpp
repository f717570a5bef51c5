#ifndef HYSSOPLOFT_TESTS_SUPPORT_CHECK_PROPERTY_HPP
#define HYSSOPLOFT_TESTS_SUPPORT_CHECK_PROPERTY_HPP

// Runs a rapidcheck property with a fixed seed, so that each run of the tests
// tries the same cases.

#include <doctest.h>
#include <rapidcheck.h>

#include <sstream>
#include <utility>

namespace hyssoploft::tests {

template <typename Property>
void check_property(std::uint64_t seed, int cases, Property&& property)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = cases;
    const auto result = rc::detail::checkTestable(
        std::forward<Property>(property), rc::detail::TestMetadata(), params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    CHECK_MESSAGE(result.template is<rc::detail::SuccessResult>(), text.str());
}

} // namespace hyssoploft::tests

#endif
