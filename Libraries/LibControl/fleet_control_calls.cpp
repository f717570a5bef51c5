// Requests of operators and registrations of upstreams.

#include <LibControl/fleet_control.hpp>

#include <LibCore/log_line.hpp>
#include <LibManifest/manifest_rules.hpp>

#include <boost/asio/post.hpp>
#include <glog/logging.h>

#include <utility>

namespace hyssoploft::control {

namespace {

/// Covers an election and a commit over two links between regions. Meanwhile
/// operators retry at another VM.
constexpr std::chrono::seconds propose_timeout{4};
/// Shorter than the request timeout of operators.
constexpr std::chrono::milliseconds read_timeout{900};
constexpr std::chrono::milliseconds apply_poll_interval{20};

absl::Status status_of(const absl::StatusOr<std::string>& result)
{
    return result.ok() ? absl::OkStatus() : result.status();
}

/// A valid document.
struct checked_document
{
    std::uint64_t version = 0;
    std::string packed;
};

/// INVALID_ARGUMENT with what is wrong.
absl::StatusOr<checked_document> check_document(
    const manifest::manifest_codec& codec, const std::string& document)
{
    const auto decoded = codec.decode(document);
    if (!decoded.ok())
    {
        return decoded.status();
    }
    const auto status = manifest::check_manifest(*decoded);
    if (!status.ok())
    {
        return status;
    }
    auto packed = pack_document(document);
    if (!packed.ok())
    {
        return absl::InvalidArgumentError(packed.status().message());
    }
    return checked_document{decoded->version, *std::move(packed)};
}

} // namespace

void fleet_control::put_manifest(std::string document, status_handler done)
{
    // Validated on the caller's thread, because a large document takes
    // milliseconds.
    auto checked = check_document(*codec_, document);
    if (!checked.ok())
    {
        LOG(WARNING) << core::log_line("manifest_refused")
                            .with("bytes", document.size())
                            .with("error", checked.status().ToString());
        boost::asio::post(
            io_, [done = std::move(done), status = checked.status()] {
                done(status);
            });
        return;
    }
    boost::asio::post(
        io_, [this, checked = *std::move(checked),
              done = std::move(done)]() mutable {
            propose_manifest(
                checked.version, std::move(checked.packed), std::move(done));
        });
}

void fleet_control::propose_manifest(
    std::uint64_t version, std::string packed, status_handler done)
{
    if (replica_ && version <= replica_->state().manifests().status().version)
    {
        LOG(INFO) << core::log_line("manifest_overtaken")
                         .with("version", version)
                         .with("in_force", manifest_version_);
        done(absl::OkStatus());
        return;
    }
    proposals_->propose(
        command_kind::manifest,
        wire::encode(manifest_command{version, std::move(packed)}),
        propose_timeout,
        [version,
         done = std::move(done)](const absl::StatusOr<std::string>& result) {
            LOG(INFO) << core::log_line("manifest_proposed")
                             .with("version", version)
                             .with("outcome", status_of(result).ToString());
            done(status_of(result));
        });
}

void fleet_control::read_manifest(document_handler done)
{
    boost::asio::post(io_, [this, done = std::move(done)]() mutable {
        const auto deadline = clock_->now() + read_timeout;
        proposals_->propose(
            command_kind::barrier, {}, read_timeout,
            [this, deadline, done = std::move(done)](
                const absl::StatusOr<std::string>& result) {
                const auto committed =
                    result.ok() ? wire::decode<manifest_status>(*result)
                                : result.status();
                if (!committed.ok())
                {
                    done(absl::UnavailableError(
                        "the newest manifest version could not be determined"));
                    return;
                }
                finish_read(*committed, deadline, done);
            });
    });
}

void fleet_control::finish_read(
    const manifest_status& committed, core::time_point deadline,
    document_handler done)
{
    if (committed.version == 0)
    {
        done(absl::NotFoundError("there is no manifest yet"));
        return;
    }
    if (manifest_version_ >= committed.version)
    {
        done(unpack_document(packed_manifest_));
        return;
    }
    if (clock_->now() >= deadline)
    {
        done(absl::UnavailableError("this VM has not applied the manifest"));
        return;
    }
    auto timer =
        std::make_shared<boost::asio::steady_timer>(io_, apply_poll_interval);
    timer->async_wait([this, committed, deadline, done = std::move(done),
                       timer](const boost::system::error_code& ec) {
        if (!ec)
        {
            finish_read(committed, deadline, done);
        }
    });
}

void fleet_control::read_evacuation_order(
    std::string data_center, revision_handler done)
{
    boost::asio::post(
        io_,
        [this, data_center = std::move(data_center), done = std::move(done)] {
            done(
                replica_
                    ? replica_->state().manifests().evacuation_order_revision(
                          data_center)
                    : 0);
        });
}

void fleet_control::change_evacuation(
    evacuation_change change, change_handler done)
{
    boost::asio::post(
        io_, [this, change = std::move(change), done = std::move(done)] {
            proposals_->propose(
                command_kind::evacuation_change, wire::encode(change),
                propose_timeout,
                [done](const absl::StatusOr<std::string>& result) {
                    done(
                        result.ok() ? wire::decode<evacuation_result>(*result)
                                    : result.status());
                });
        });
}

void fleet_control::announce(fleet::upstream_row row)
{
    boost::asio::post(io_, [this, row = std::move(row)] {
        const auto change = upstreams_.announce(row, clock_->now());
        if (change == fleet::upstream_table::change::none)
        {
            return;
        }
        view_changed_ = true;
        send_fleet_notices(true);
    });
}

} // namespace hyssoploft::control
