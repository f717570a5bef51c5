// Guards against a control VM with a full disk that keeps an old manifest, and
// against manifests that are sent to every control VM twice.

#include <LibControl/manifest_delivery.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace std::chrono_literals;

TEST_CASE("a manifest goes to whoever can't read it from a log")
{
    struct request_case
    {
        const char* name;
        std::uint64_t own;
        core::duration age;
        std::uint64_t requester;
        bool is_control_vm;
        bool expected;
    };
    const request_case cases[] = {
        {"entry VM lacks it", 4, 0ms, 3, false, true},
        {"entry VM has it", 4, 1h, 4, false, false},
        {"requester has a newer one", 4, 1h, 5, true, false},
        {"control VM reads its log", 4, 299ms, 3, true, false},
        {"control VM does not read its log", 4, 300ms, 3, true, true},
        {"control VM without any", 4, 1h, 0, true, true},
        {"nothing to send", 0, 1h, 0, false, false},
    };
    for (const auto& it : cases)
    {
        CAPTURE(it.name);
        CHECK_EQ(
            control::is_manifest_due(
                it.own, it.age, it.requester, it.is_control_vm),
            it.expected);
    }
}
