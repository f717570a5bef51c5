// Guards against requests that run without the key of an account because the
// manifest in force has no account left.

#include "relay_fixture.hpp"

#include <doctest.h>

using namespace hyssoploft;
using namespace hyssoploft::tests;

namespace {

constexpr const char* open_prefix = "/read/";

manifest::client_account shop_account()
{
    manifest::client_account out;
    out.name = "shop";
    out.keys = {"k", ""};
    return out;
}

using account_list = std::optional<std::vector<manifest::client_account>>;

void install_accounts(relay_fixture& it, const account_list& accounts)
{
    it.source->change([&](auto& view, auto&) {
        auto next = view.routes->source();
        next.version += 1;
        next.accounts = accounts;
        for (auto& route : next.routes)
        {
            route.open = route.path_prefix == open_prefix;
        }
        view.routes = std::make_shared<manifest::route_table>(next);
    });
}

struct manifest_case
{
    const char* name;
    account_list accounts;
    unsigned valid;   // Status with the key of the account.
    unsigned unknown; // With a key that no manifest has.
    unsigned empty;   // With an empty key.
    unsigned absent;  // Without a key.
};

} // namespace

// A list that is empty was taken as one that is absent (review/15).
TEST_CASE("without accounts no key is valid, and without a list none is needed")
{
    const account_list shop = std::vector{shop_account()};
    const account_list none = std::vector<manifest::client_account>();
    // Each manifest replaces the one before it.
    const manifest_case rows[] = {
        {"no list", std::nullopt, 200, 200, 200, 200},
        {"one account", shop, 200, 401, 401, 401},
        {"the last account is taken away", none, 401, 401, 401, 401},
        {"it is brought back", shop, 200, 401, 401, 401},
        {"taken away once more", none, 401, 401, 401, 401},
        {"the list is taken away", std::nullopt, 200, 200, 200, 200}};
    relay_fixture it;
    it.upstream.set_replies({{signed_answer(200, "done")}});
    const auto status = [&](const char* path, const char* headers) {
        return it.call(relay_request(path, "a", headers)).status;
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        install_accounts(it, row.accounts);
        CHECK_EQ(status("/order/1", "x-key: k\r\n"), row.valid);
        CHECK_EQ(status("/order/1", "x-key: other\r\n"), row.unknown);
        CHECK_EQ(status("/order/1", "x-key: \r\n"), row.empty);
        CHECK_EQ(status("/order/1", ""), row.absent);
        // An open route is open whatever the accounts are.
        CHECK_EQ(status("/read/1", ""), 200);
    }
}
