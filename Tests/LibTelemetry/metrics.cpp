// Guards against metrics text that Prometheus would reject.

#include <LibTelemetry/metrics.hpp>

#include <doctest.h>

#include <thread>

using namespace hyssoploft;

TEST_CASE("metrics text has one type line a name and sorted series")
{
    telemetry::metrics all;
    all.get_counter("requests_total", {{"reason", "b"}}).add(2);
    all.get_counter("requests_total", {{"reason", "a"}}).add();
    all.get_gauge("queue").set(1.5);
    CHECK_EQ(
        all.to_text(), "# TYPE requests_total counter\n"
                       "requests_total{reason=\"a\"} 1\n"
                       "requests_total{reason=\"b\"} 2\n"
                       "# TYPE queue gauge\n"
                       "queue 1.5\n");
}

TEST_CASE("a distribution estimates quantiles")
{
    telemetry::distribution it;
    CHECK_EQ(it.quantile(0.5), 0);
    for (int n = 1; n <= 10000; ++n)
    {
        it.record((n * 7919) % 10007);
    }
    CHECK_EQ(it.count(), 10000);
    CHECK_EQ(it.quantile(0.5), doctest::Approx(5000).epsilon(0.05));
    CHECK_EQ(it.quantile(0.99), doctest::Approx(9900).epsilon(0.05));
}

TEST_CASE("counters lose nothing when threads add at once")
{
    telemetry::metrics all;
    const auto add_many = [&all] {
        for (int n = 0; n < 10000; ++n)
        {
            all.get_counter("shared").add();
        }
    };
    std::thread other(add_many);
    add_many();
    other.join();
    CHECK_EQ(all.get_counter("shared").value(), 20000);
}
