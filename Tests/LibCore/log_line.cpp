// Guards against log lines that a value could split or forge.

#include <LibCore/log_line.hpp>

#include <doctest.h>

using namespace hyssoploft;

TEST_CASE("values that could break a log line are quoted")
{
    core::log_line line("vm_joined");
    line.with("vm", "v1").with("count", 3).with("text", "a b\nc=\"d\"");
    CHECK_EQ(line.text(), "vm_joined vm=v1 count=3 text=\"a b\\nc=\\\"d\\\"\"");
}
