// Identifier of the set of declared accounts.

#include <LibRate/declared_rates.hpp>

#include <LibCore/keyed_hash.hpp>

namespace hyssoploft::rate {

std::uint64_t declared_rates::account_table() const
{
    std::string names;
    for (const auto& it : accounts)
    {
        names += std::to_string(it.first.size());
        names += ':';
        names += it.first;
    }
    const auto digest = core::sha256(names);
    std::uint64_t table = 0;
    for (std::size_t n = 0; n < sizeof(table); ++n)
    {
        table = table << 8 | digest[n];
    }
    return table == 0 ? 1 : table;
}

} // namespace hyssoploft::rate
