// Guards against accepting lease messages that are truncated, forged or too
// long.

#include <LibRate/lease_messages.hpp>

#include <doctest.h>

#include <limits>

using namespace hyssoploft;

namespace {

rate::lease_request sample_request()
{
    return {"vm1", 7, 8, 6, 3, 12, false, {{"acme", 10, 2}, {"valea", 5, 0}}};
}

} // namespace

TEST_CASE("decoded lease messages equal the encoded ones")
{
    const auto request =
        rate::decode_lease_request(rate::encode(sample_request())).value();
    CHECK_EQ(request.vm, "vm1");
    CHECK_EQ(request.incarnation, 7);
    CHECK_EQ(request.applied, 6);
    CHECK_EQ(request.config_version, 12);
    REQUIRE_EQ(request.accounts.size(), 2);
    CHECK_EQ(request.accounts[0].returned_credit, 2);
    CHECK(request.full);
    const rate::lease_grant sent{7, 8, 3, 12, {{"acme", 0.25F, 4}}, 5};
    const auto grant = rate::decode_lease_grant(rate::encode(sent)).value();
    CHECK_EQ(grant.term, 3);
    CHECK_EQ(grant.base, 5);
    REQUIRE_EQ(grant.shares.size(), 1);
    CHECK_EQ(grant.shares[0].share, 0.25F);
}

TEST_CASE("encoded messages can identify accounts by number")
{
    auto sent = sample_request();
    sent.table = 9;
    sent.sequence = ~std::uint64_t{0};
    sent.accounts = {{"", 10, 0, 0}, {"", 5, 2, 0xffffffff}};
    const auto bytes = rate::encode(sent);
    CHECK_LT(bytes.size(), rate::encode(sample_request()).size() + 12);
    const auto request = rate::decode_lease_request(bytes).value();
    CHECK_EQ(request.sequence, sent.sequence);
    REQUIRE_EQ(request.accounts.size(), 2);
    CHECK_EQ(request.accounts[0].returned_credit, 0);
    CHECK_EQ(request.accounts[1].number, 0xffffffff);
    CHECK_EQ(request.accounts[1].returned_credit, 2);
    CHECK_EQ(request.accounts[1].tokens_per_second, 5);
}

TEST_CASE("damaged lease messages are refused")
{
    const std::string good = rate::encode(sample_request());
    for (std::size_t n = 0; n < good.size(); ++n)
    {
        CHECK_FALSE(rate::decode_lease_request(good.substr(0, n)).ok());
    }
    CHECK_FALSE(rate::decode_lease_request(good + "x").ok());
    CHECK_FALSE(rate::decode_lease_request(
                    std::string(rate::max_lease_message_bytes + 1, '\0'))
                    .ok());
    for (const float bad :
         {-1.0F, 1.5F, std::numeric_limits<float>::quiet_NaN(),
          std::numeric_limits<float>::infinity()})
    {
        CHECK_FALSE(rate::decode_lease_grant(rate::encode(rate::lease_grant{
                                                 1, 1, 1, 1, {{"a", bad, 0}}}))
                        .ok());
    }
}
