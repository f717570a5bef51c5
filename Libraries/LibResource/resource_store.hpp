#ifndef HYSSOPLOFT_LIBRESOURCE_RESOURCE_STORE_HPP
#define HYSSOPLOFT_LIBRESOURCE_RESOURCE_STORE_HPP

// The replicated state machine of the resources, on control VMs. It is
// deterministic: the same commands in the same order yield the same state and
// results on every VM. Not thread safe.

#include <LibCore/keyed_hash.hpp>
#include <LibResource/change_batch.hpp>
#include <LibResource/change_window.hpp>
#include <LibResource/published_configuration.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hyssoploft::resource {

inline constexpr std::size_t max_kept_requests = 4096;
inline constexpr std::size_t max_kept_audit_entries = 1024;

/// The author, time, changes and outcome of one request.
struct audit_entry
{
    std::uint64_t sequence = 0; ///< From 1, without gaps.
    std::string request_id;
    std::string author;
    std::uint64_t unix_milliseconds = 0;
    apply_outcome outcome = apply_outcome::malformed;
    std::uint64_t version = 0;
    std::vector<std::string> what; ///< Such as "set route/quotes".
};

class resource_store
{
public:
    /// Applies an encoded batch and returns the encoded result. A retry with
    /// the same request identifier gets the first result, byte for byte. So
    /// does an empty batch with that identifier, which queries the outcome; if
    /// the query arrives first, the batch itself is later refused as
    /// request_id_reuse.
    std::string apply(std::string_view batch);

    /// The result that apply() would return for a new request; the state stays
    /// unchanged.
    apply_result dry_run(const change_batch& batch) const;

    /// The whole state, request identifiers included.
    std::string snapshot() const;

    /// Replaces the state; on an error it stays unchanged.
    absl::Status restore(std::string_view bytes);

    /// The newest configuration, as an immutable snapshot.
    std::shared_ptr<const configuration> current() const
    {
        return configuration_.publish();
    }

    /// For the owning thread only.
    const configuration& view() const
    {
        return configuration_.view();
    }

    std::uint64_t version() const
    {
        return view().version;
    }

    /// See change_window::changes_since().
    absl::StatusOr<std::vector<std::string>> changes_since(
        std::uint64_t version, std::size_t max_bytes = max_pull_bytes) const
    {
        return window_.changes_since(version, max_bytes);
    }

    /// Kept audit entries with a greater sequence, oldest first.
    std::vector<audit_entry> audit_since(std::uint64_t sequence) const;

    std::uint64_t audit_sequence() const
    {
        return audit_sequence_;
    }

private:
    struct kept_request
    {
        std::string request_id;
        core::digest content{}; // Of the batch, without author and time.
        std::string result;     // Encoded.
    };

    struct outcome
    {
        apply_result result;
        change_event event; // Set if applied.
    };

    outcome evaluate(const change_batch& batch) const;
    change_event make_event(const change_batch& batch) const;
    void store_request(kept_request it);
    void add_audit_entry(const change_batch& batch, const apply_result& result);

    published_configuration configuration_;
    change_window window_; // Its last() equals the configuration's version.
    std::deque<kept_request> requests_; // Oldest first.
    std::unordered_map<std::string, std::size_t> request_index_; // Ordinal.
    std::size_t first_ordinal_ = 0; // Ordinal of requests_.front().
    std::deque<audit_entry> audit_;
    std::uint64_t audit_sequence_ = 0; // Of audit_.back().
};

/// One line for each change of the batch, for the audit log.
std::vector<std::string> describe(const change_batch& batch);

} // namespace hyssoploft::resource

#endif
