// Guards against settings files that are misread.

#include <platform/vm_settings.hpp>

#include <doctest.h>

#include <string>

using namespace hyssoploft;

namespace {

const std::string sound = R"(node-name: "core-east-a-1"
ip: "10.1.0.28"
zone: "east-a"
region: "east"
zones:
  east-a: "east"
  west-a: "west"
listen:
  control: "10.1.0.28:8229"
  directory: "10.1.0.28:8220"
port-range:
  - 7600
  - 7615
seeds:
  - "10.1.0.28:8229"
  - "10.2.0.19:8229"
bootstrap: true
data-dir: "/data/control"
fault-tolerance:
  machines: 2
bounds:
  retry-budget-ratio: 0.2
  budget-slack: 52
  budget-window-s: 10
  quota-slack: 140000
  grace-s: 8
limits: {memory-mb: 260, max-fds: 4100}
new-field: [1, 2]
)";

} // namespace

TEST_CASE("a settings file is decoded")
{
    const auto out = platform::parse_vm_settings(sound, "local.yaml");
    REQUIRE(out.ok());
    CHECK(out->ip == "10.1.0.28");
    CHECK(out->data_center == "east-a");
    CHECK(out->regions.at("west-a") == "west");
    CHECK(out->control_address == "10.1.0.28:8229");
    CHECK(out->entry_address.empty());
    CHECK(out->first_peer_port == 7600);
    CHECK(out->last_peer_port == 7615);
    CHECK(out->seed_ips == std::vector<std::string>{"10.1.0.28", "10.2.0.19"});
    CHECK(out->first_start);
    CHECK(out->data_dir == "/data/control");
    CHECK(out->tolerated_losses == 2);
    CHECK(out->repeat_slack == 52);
    CHECK(out->repeat_window == std::chrono::seconds(10));
    CHECK(out->stop_grace == std::chrono::seconds(8));
    CHECK(out->memory_bytes == 260'000'000);
    CHECK(out->max_descriptors == 4100);
}

TEST_CASE("a machine without a disk has no data directory")
{
    auto text = sound;
    text.replace(text.find("\"/data/control\""), 15, "null");
    const auto out = platform::parse_vm_settings(text, "local.yaml");
    REQUIRE(out.ok());
    CHECK(out->data_dir.empty());
}

TEST_CASE("all findings come together, with their place")
{
    auto text = sound;
    text.replace(text.find("ip: "), 4, "op: ");
    text.replace(text.find("bootstrap: true"), 15, "bootstrap: maybe");
    const auto out = platform::parse_vm_settings(text, "local.yaml");
    REQUIRE_FALSE(out.ok());
    const std::string message(out.status().message());
    CHECK(message.find("ip") != std::string::npos);
    CHECK(message.find("bootstrap") != std::string::npos);
    CHECK(message.find("local.yaml") != std::string::npos);
    CHECK_FALSE(platform::parse_vm_settings("[1, 2]", "x").ok());
    CHECK_FALSE(platform::parse_vm_settings("a: [", "x").ok());
}

// Guards against numbers that change their value, or end the process, when they
// are converted to narrower types.
TEST_CASE("settings with numbers out of range are refused")
{
    struct number_case
    {
        std::string from;
        std::string to;
    };
    const std::string deep(100'000, '[');
    const number_case cases[] = {
        {"7600", "99999"},
        {"7615", "-1"},
        {"machines: 2", "machines: -1"},
        {"machines: 2", "machines: 18446744073709551615"},
        {"budget-window-s: 10", "budget-window-s: 1e300"},
        {"budget-window-s: 10", "budget-window-s: .inf"},
        {"budget-window-s: 10", "budget-window-s: .nan"},
        {"budget-window-s: 10", "budget-window-s: -1"},
        {"grace-s: 8", "grace-s: 1e300"},
        {"grace-s: 8", "grace-s: .nan"},
        {"budget-slack: 52", "budget-slack: .nan"},
        {"quota-slack: 140000", "quota-slack: -.inf"},
        {"retry-budget-ratio: 0.2", "retry-budget-ratio: .nan"},
        {"new-field: [1, 2]", "new-field: " + deep},
        {"new-field: [1, 2]",
         "new-field: " + deep + std::string(deep.size(), ']')}};
    for (const auto& it : cases)
    {
        CAPTURE(it.from);
        CAPTURE(it.to.substr(0, 40));
        auto odd = sound;
        odd.replace(odd.find(it.from), it.from.size(), it.to);
        CHECK_FALSE(platform::parse_vm_settings(odd, "odd.yaml").ok());
    }
}
