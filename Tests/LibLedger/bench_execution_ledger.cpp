// Benchmarks memory of the execution ledger and time for the two commands of a
// call by number of records. Run manually; see docs/measurements/resources.md.

#include <LibCore/text.hpp>
#include <LibLedger/digests.hpp>
#include <LibLedger/execution_ledger.hpp>

#include <malloc.h>

#include <chrono>
#include <cstdio>

using namespace hyssoploft;
using namespace hyssoploft::ledger;

namespace {

begin_request make_request(std::size_t n)
{
    begin_request it;
    it.id = {
        "customer-account-17", "resin-slots", digest_of_key(core::concat(n))};
    it.body_digest = digest_of_call("POST", "/bookings", core::concat(n));
    it.attempt = core::concat("0123456789abcdef", 1'000'000 + n);
    it.owner_vm = "constanta-a1";
    it.deadline = std::chrono::seconds(30);
    it.record_lifetime = std::chrono::hours(24);
    return it;
}

} // namespace

int main()
{
    std::printf(
        "%8s %12s %14s %12s %12s\n", "records", "bytes each", "call us",
        "begin B", "snapshot MiB");
    for (const std::size_t count : {1'000U, 8'000U, 32'768U})
    {
        std::vector<std::string> log;
        for (std::size_t n = 0; n < count; ++n)
        {
            const auto it = make_request(n);
            log.push_back(encode_command(begin_command{it}));
            log.push_back(encode_command(finish_command{
                it.id,
                it.attempt,
                it.owner_vm,
                finish_outcome::completed,
                it.body_digest,
                {"constanta-a1", "constanta-b1"}}));
        }
        const auto before = mallinfo2().uordblks;
        execution_ledger ledger;
        const auto start = std::chrono::steady_clock::now();
        for (const auto& it : log)
        {
            ledger.apply(it);
        }
        const std::chrono::duration<double, std::micro> taken =
            std::chrono::steady_clock::now() - start;
        const auto bytes = mallinfo2().uordblks - before;
        std::printf(
            "%8zu %12.0f %14.1f %12zu %12.2f\n", ledger.size(),
            static_cast<double>(bytes) / static_cast<double>(count),
            taken.count() / static_cast<double>(count), log.front().size(),
            static_cast<double>(ledger.snapshot().size()) / (1 << 20));
    }
}
