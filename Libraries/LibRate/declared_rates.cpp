// Identifier of the set of declared accounts.

#include <LibRate/declared_rates.hpp>

#include <LibCore/keyed_hash.hpp>

namespace hyssoploft::rate {

std::uint64_t declared_rates::account_table_id() const
{
    std::string names;
    for (const auto& it : accounts)
    {
        names += std::to_string(it.first.size());
        names += ':';
        names += it.first;
    }
    const auto digest = core::sha256(names);
    std::uint64_t id = 0;
    for (std::size_t n = 0; n < sizeof(id); ++n)
    {
        id = id << 8 | digest[n];
    }
    return id == 0 ? 1 : id;
}

} // namespace hyssoploft::rate
