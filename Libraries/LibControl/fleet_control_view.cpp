// Snapshots that the control thread publishes for traffic threads.

#include <LibControl/fleet_control.hpp>

#include <LibCore/log_line.hpp>

#include <boost/asio/post.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace hyssoploft::control {

namespace {

/// A partitioned VM keeps using its share of fleet-wide budgets, so it counts
/// for this time after it was last seen: longer than any expected partition.
constexpr std::chrono::seconds entry_vm_retention{60};

} // namespace

void fleet_control::rebuild_view()
{
    const auto now = clock_->now();
    if (replica_)
    {
        fleet::sync_request own;
        own.self = own_vm_row();
        const auto position = merger_.position_at(options_.vm);
        own.epoch = position.epoch;
        own.cursor = position.cursor;
        own.manifest_version = manifest_version_;
        merger_.apply(options_.vm, make_sync_answer(own, now), now);
    }
    auto view = std::make_shared<membership::fleet_view>();
    view->self = options_.vm;
    merger_.build(*view, now);
    for (const auto& [id, it] : view->upstreams)
    {
        const auto previous = fleet_->upstreams.find(id);
        const bool known = previous != fleet_->upstreams.end();
        if (!known || previous->second.state != it.state ||
            previous->second.incarnation != it.incarnation ||
            previous->second.silent != it.silent)
        {
            LOG(INFO) << core::log_line("upstream_changed")
                             .with("upstream", id)
                             .with("address", it.address)
                             .with("role", it.role)
                             .with("data_center", it.data_center)
                             .with("incarnation", it.incarnation)
                             .with(
                                 "state", core::name_of(
                                              membership::upstream_state_names,
                                              it.state))
                             .with("silent", it.silent ? 1 : 0);
        }
    }
    for (const auto& [id, it] : view->vms)
    {
        const auto previous = fleet_->vms.find(id);
        if (previous == fleet_->vms.end() || previous->second.state != it.state)
        {
            LOG(INFO) << core::log_line("vm_changed")
                             .with("vm", id)
                             .with("region", it.region)
                             .with(
                                 "state",
                                 core::name_of(
                                     membership::vm_state_names, it.state));
        }
    }
    fleet_ = std::move(view);
    update_recent_entry_vms(now);
    view_changed_ = true;
}

void fleet_control::update_recent_entry_vms(core::time_point now)
{
    const auto before = recent_entry_vms_.size();
    for (const auto& [id, it] : fleet_->vms)
    {
        if (it.entry && it.state != membership::vm_state::dead)
        {
            recent_entry_vms_[id] = now;
        }
    }
    std::erase_if(recent_entry_vms_, [now](const auto& it) {
        return now - it.second > entry_vm_retention;
    });
    if (recent_entry_vms_.size() != before)
    {
        install_rates();
    }
}

void fleet_control::publish()
{
    const auto now = clock_->now();
    auto out = std::make_shared<fleet::traffic_view>();
    out->fleet = fleet_;
    out->routes = routes_;
    out->evacuated = evacuated_;
    fill_loads(*out, now);
    out->suspects = suspect_states_;
    out->built = now;
    out->entry_vms = std::max<std::uint32_t>(
        1, static_cast<std::uint32_t>(recent_entry_vms_.size()));
    std::uint32_t entry_vms_in_region = 0;
    for (const auto& [id, it] : fleet_->vms)
    {
        entry_vms_in_region +=
            recent_entry_vms_.contains(id) && it.region == options_.region ? 1
                                                                           : 0;
    }
    out->region_entry_vms = std::max<std::uint32_t>(1, entry_vms_in_region);
    out->live_control_vms = merger_.fresh_source_count(now);
    out->is_resuming = resumed_at_.has_value();
    view_changed_ = false;
    const std::lock_guard lock(published_mutex_);
    published_ = std::move(out);
}

std::shared_ptr<const fleet::traffic_view> fleet_control::view() const
{
    const std::lock_guard lock(published_mutex_);
    return published_;
}

void fleet_control::set_loads(std::vector<fleet::load_row> loads)
{
    {
        const std::lock_guard lock(published_mutex_);
        own_loads_ = std::move(loads);
    }
    boost::asio::post(io_, [this] {
        send_own_loads();
    });
}

void fleet_control::install_manifest(
    std::uint64_t version, const std::string& packed)
{
    if (version <= manifest_version_)
    {
        return;
    }
    const auto document = unpack_document(packed);
    auto decoded =
        document.ok() ? codec_->decode(*document) : document.status();
    if (!decoded.ok())
    {
        // It was validated before it was proposed, so another build with a
        // different format wrote it.
        LOG(ERROR) << core::log_line("manifest_unreadable")
                          .with("version", version)
                          .with("error", decoded.status().ToString());
        return;
    }
    decoded->version = version;
    routes_ =
        std::make_shared<const manifest::route_table>(*std::move(decoded));
    manifest_version_ = version;
    packed_manifest_ = packed;
    manifest_installed_at_ = clock_->now();
    std::set<std::string> roles;
    for (const auto& it : routes_->source().roles)
    {
        roles.insert(it.name);
    }
    upstreams_.set_roles(std::move(roles));
    install_rates();
    view_changed_ = true;
    LOG(INFO) << core::log_line("manifest_in_force").with("version", version);
    publish();
}

void fleet_control::install_rates()
{
    if (!routes_)
    {
        return;
    }
    std::map<std::string, rate::account_rate> rates;
    if (const auto& accounts = routes_->source().accounts)
    {
        for (const auto& it : *accounts)
        {
            if (it.tokens_per_second > 0)
            {
                rates[it.name] = {it.tokens_per_second, it.burst_tokens, 0.0};
            }
        }
    }
    if (credit_pool_)
    {
        credit_pool_->install(
            rates, options_.extra_burst_tokens, clock_->now());
    }
    share_holder_->install(
        rates, options_.extra_burst_tokens,
        static_cast<std::uint32_t>(recent_entry_vms_.size()), clock_->now());
}

void fleet_control::install_evacuations(
    std::uint64_t revision, const std::set<std::string>& evacuated)
{
    if (revision <= evacuation_revision_)
    {
        return;
    }
    evacuation_revision_ = revision;
    evacuated_ = evacuated;
    view_changed_ = true;
    LOG(INFO) << core::log_line("evacuations_in_force")
                     .with("revision", revision)
                     .with("data_centers", evacuated.size());
    publish();
}

} // namespace hyssoploft::control
