// The operator of a large deployment: sends configurations one after the
// other, each with a few keys exchanged, to control machines in turn.
// config_growth ADDRESSES(comma) CHANGES ACCOUNTS SECONDS; prints the newest
// version that was acknowledged and the size of its document.

#include "http_io.hpp"

#include <iostream>
#include <random>
#include <sstream>
#include <vector>

namespace {

std::mt19937 chance(7);

std::string make_key()
{
    static const char digits[] = "0123456789abcdefghijklmnopqrstuvwxyz";
    std::string out;
    for (int n = 0; n < 20; ++n)
    {
        out += digits[chance() % 36];
    }
    return out;
}

struct account
{
    std::string name;
    std::string keys[2];
};

std::string make_document(int version, const std::vector<account>& accounts)
{
    std::ostringstream out;
    out << R"({"version":)" << version
        << R"(,"routes":[{"name":"orders","host":"shop.example",)"
        << R"("path-prefix":"/orders/","kind":"unsafe","timeout-ms":1200,)"
        << R"("target-latency-ms":400,"priority":2,"service":"desk",)"
        << R"("max-attempts":1,"public":false,"home-regions":[]}],)"
        << R"("services":[{"name":"desk","health-path":"/healthz",)"
        << R"("max-conns":96,"protocol":"h1","tls":false,)"
        << R"("cold-start-s":0.0,"cold-per-s":0.0}],)"
        << R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)"
        << R"("header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[)";
    const char* comma = "";
    for (const auto& it : accounts)
    {
        out << comma << R"({"name":")" << it.name << R"(","api-keys":[")"
            << it.keys[0] << R"(",")" << it.keys[1]
            << R"("],"priority":1,"unit":"tokens","plain-tokens":200,)"
            << R"("rate-per-s":440737,"burst":440737,"home-regions":[]})";
        comma = ",";
    }
    out << "]}";
    return out.str();
}

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> out;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');)
    {
        out.push_back(part);
    }
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 5)
    {
        return 2;
    }
    const auto control = split(argv[1]);
    const int changes = std::atoi(argv[2]);
    std::vector<account> accounts(static_cast<std::size_t>(std::atoi(argv[3])));
    for (auto& it : accounts)
    {
        it = {make_key().substr(0, 7), {make_key(), make_key()}};
    }
    const auto until =
        review::clock::now() + std::chrono::seconds(std::atoi(argv[4]));
    int acknowledged = 0;
    std::size_t bytes = 0;
    review::asio::io_context io;
    const auto run = [&]() -> review::task {
        std::size_t next = 0;
        for (int version = 1; version <= changes; ++version)
        {
            auto& changed = accounts[chance() % accounts.size()];
            changed.keys[0] = std::exchange(changed.keys[1], make_key());
            const auto document = make_document(version, accounts);
            int status = 0;
            while (status != 200 && review::clock::now() < until)
            {
                const auto& address = control[next++ % control.size()];
                const auto answer = co_await review::call(
                    address,
                    review::request_text(
                        "POST", "/hyssoploft/Config.Put",
                        "Host: " + address +
                            "\r\nContent-Type: application/json\r\n",
                        document),
                    std::chrono::milliseconds(3000));
                status = answer.status();
                if (status != 200)
                {
                    co_await review::pause(std::chrono::milliseconds(100));
                }
            }
            if (status != 200)
            {
                break;
            }
            acknowledged = version;
            bytes = document.size();
        }
    };
    review::asio::co_spawn(io, run, review::asio::detached);
    io.run();
    std::cout << acknowledged << ' ' << bytes << '\n';
    return 0;
}
