#ifndef HYSSOPLOFT_TESTS_LIBWIRE_TRANSPORT_BENCH_HPP
#define HYSSOPLOFT_TESTS_LIBWIRE_TRANSPORT_BENCH_HPP

// Transports on loopback addresses, driven by the test's own thread.

#include <LibWire/asio_transport.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hyssoploft::tests {

inline wire::fleet_keys test_keys()
{
    return {{1, "a fleet key of thirty-two bytes!"}, {}};
}

struct endpoint_under_test
{
    std::unique_ptr<wire::peer_transport> transport;
    std::vector<wire::incoming_message> received;

    std::uint64_t drops(wire::drop_reason it) const
    {
        return transport->counters().drops.of(it);
    }
};

class transport_bench
{
public:
    std::unique_ptr<endpoint_under_test> open(
        const std::string& id, wire::transport_limits limits = {},
        const std::string& address = "127.0.0.1:0",
        std::uint64_t incarnation = 1)
    {
        auto it = std::make_unique<endpoint_under_test>();
        wire::transport_options options;
        options.self = id;
        options.incarnation = incarnation;
        options.listen_address = address;
        options.keys = test_keys();
        options.limits = limits;
        it->transport =
            wire::create_asio_transport(io, std::move(options)).value();
        it->transport->set_handler([raw = it.get()](wire::incoming_message m) {
            raw->received.push_back(std::move(m));
        });
        return it;
    }

    /// Runs events until the condition holds; false if it never does.
    bool until(const std::function<bool()>& condition)
    {
        // Far above any deadline of the tests; reached only on failure.
        const auto end =
            std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition())
        {
            io.restart();
            if (io.run_one_until(end) == 0)
            {
                return condition();
            }
        }
        return true;
    }

    boost::asio::io_context io;
};

} // namespace hyssoploft::tests

#endif
