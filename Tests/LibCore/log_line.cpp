// Guards against log lines that a value could split or forge.

#include <LibCore/log_line.hpp>

#include <doctest.h>

#include <string>

using namespace hyssoploft;

TEST_CASE("values that could break a log line are quoted")
{
    core::log_line line("vm_joined");
    line.with("vm", "v1").with("count", 3).with("text", "a b\nc=\"d\"");
    CHECK_EQ(line.text(), "vm_joined vm=v1 count=3 text=\"a b\\nc=\\\"d\\\"\"");
}

// Guards against a comparison of plain char: it is signed on x86-64 and
// unsigned with most compilers for arm64.
TEST_CASE("bytes beyond ASCII are escaped on every kind of machine")
{
    core::log_line line("upstream_called");
    line.with("host", "caf\xc3\xa9");
    line.with("id", std::string("\x7f\x80\xff"));
    CHECK_EQ(
        line.text(), "upstream_called host=\"caf\\303\\251\""
                     " id=\"\\177\\200\\377\"");
}
