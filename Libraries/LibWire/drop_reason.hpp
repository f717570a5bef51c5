#ifndef HYSSOPLOFT_LIBWIRE_DROP_REASON_HPP
#define HYSSOPLOFT_LIBWIRE_DROP_REASON_HPP

// Why a frame was dropped, and a counter for each reason.

#include <LibCore/enum_table.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace hyssoploft::wire {

enum class drop_reason : std::uint8_t
{
    truncated,
    trailing_bytes,
    bad_magic,
    wrong_version,
    oversize,
    bad_sender,
    unknown_key,
    forged,
    unknown_type,
    stale_incarnation,
    replayed,
    too_many_senders,
    bad_envelope,
    unexpected_message,
    queue_full,
    read_deadline
};

inline constexpr std::size_t drop_reason_count = 16;

inline constexpr core::enum_table<drop_reason, drop_reason_count>
    drop_reason_names{
        {{drop_reason::truncated, "truncated"},
         {drop_reason::trailing_bytes, "trailing_bytes"},
         {drop_reason::bad_magic, "bad_magic"},
         {drop_reason::wrong_version, "wrong_version"},
         {drop_reason::oversize, "oversize"},
         {drop_reason::bad_sender, "bad_sender"},
         {drop_reason::unknown_key, "unknown_key"},
         {drop_reason::forged, "forged"},
         {drop_reason::unknown_type, "unknown_type"},
         {drop_reason::stale_incarnation, "stale_incarnation"},
         {drop_reason::replayed, "replayed"},
         {drop_reason::too_many_senders, "too_many_senders"},
         {drop_reason::bad_envelope, "bad_envelope"},
         {drop_reason::unexpected_message, "unexpected_message"},
         {drop_reason::queue_full, "queue_full"},
         {drop_reason::read_deadline, "read_deadline"}}};

class drop_counters
{
public:
    void add(drop_reason it)
    {
        ++counts_[static_cast<std::size_t>(it)];
    }

    std::uint64_t of(drop_reason it) const
    {
        return counts_[static_cast<std::size_t>(it)];
    }

private:
    std::array<std::uint64_t, drop_reason_count> counts_{};
};

} // namespace hyssoploft::wire

#endif
