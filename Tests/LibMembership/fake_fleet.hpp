#ifndef HYSSOPLOFT_TESTS_LIBMEMBERSHIP_FAKE_FLEET_HPP
#define HYSSOPLOFT_TESTS_LIBMEMBERSHIP_FAKE_FLEET_HPP

// Fleet members on a simulated network in virtual time. Messages are encoded
// and decoded as on a real network. The seed determines all random choices.

#include <LibCore/text.hpp>
#include <LibMembership/fleet_member.hpp>
#include <LibWire/frame_codec.hpp>
#include <LibWire/serialization.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace hyssoploft::tests {

struct fake_options
{
    std::size_t vms = 9;
    std::size_t regions = 3;
    std::uint64_t seed = 1;
    double loss = 0;       ///< Of datagrams.
    double duplicates = 0; ///< Of datagrams.
    core::duration min_delay = std::chrono::milliseconds(1);
    core::duration max_delay = std::chrono::milliseconds(40);
};

struct traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< With frame, without IP headers.
};

class fake_fleet
{
public:
    struct vm
    {
        std::unique_ptr<core::seeded_random> random;
        std::unique_ptr<membership::fleet_member> member;
        std::string id;
        std::string address;
        std::string region;
        std::uint64_t incarnation = 1;
        bool up = true;
        bool paused = false;
        std::vector<membership::message> inbox; // Senders in inbox_from.
        std::vector<std::string> inbox_from;
        std::set<membership::key_digest> withdrawn;
        std::uint64_t newest_config = 0;
        traffic sent;
        traffic received;
        std::map<std::size_t, traffic> sent_by_type; // By variant index.
    };

    /// True if this message is lost.
    using filter =
        std::function<bool(const vm& from, const vm& to, bool stream)>;

    explicit fake_fleet(fake_options options)
        : options_(options), random_(options.seed)
    {
        for (std::size_t n = 0; n < options_.vms; ++n)
        {
            auto it = std::make_unique<vm>();
            it->id = core::concat("vm", n);
            it->address = core::concat("10.", n / 250, ".", n % 250, ".1:7000");
            it->region = core::concat("region", n % options_.regions);
            by_address_[it->address] = n;
            vms_.push_back(std::move(it));
        }
        for (std::size_t n = 0; n < options_.vms; ++n)
        {
            start(n);
            push(event{now_ + jitter(), next_sequence_++, n, nullptr});
        }
    }

    vm& at(std::size_t n)
    {
        return *vms_[n];
    }

    membership::fleet_member& member(std::size_t n)
    {
        return *vms_[n]->member;
    }

    std::size_t size() const
    {
        return vms_.size();
    }

    core::time_point now() const
    {
        return now_;
    }

    void set_filter(filter it)
    {
        filter_ = std::move(it);
    }

    void set_loss(double loss)
    {
        options_.loss = loss;
    }

    /// Starts a new process with the same identifier and address.
    void restart(std::size_t n)
    {
        vms_[n]->incarnation += 1000;
        vms_[n]->withdrawn.clear();
        start(n);
        vms_[n]->up = true;
    }

    void run(core::duration d)
    {
        const auto end = now_ + d;
        while (!events_.empty() && events_.top().at <= end)
        {
            auto it = events_.top();
            events_.pop();
            now_ = it.at;
            handle(it);
        }
        now_ = end;
    }

    /// Runs until the condition holds. Returns the time taken, or `limit` if
    /// the condition did not become true.
    core::duration
    run_until(const std::function<bool()>& condition, core::duration limit)
    {
        const auto start_time = now_;
        while (!condition() && now_ - start_time < limit)
        {
            run(std::chrono::milliseconds(100));
        }
        return now_ - start_time;
    }

    bool all_see(std::size_t subject, membership::vm_state state)
    {
        return all([&](std::size_t n) {
            const auto* it = member(n).table().find(at(subject).id);
            return n == subject || (it != nullptr && it->record.state == state);
        });
    }

    bool all_joined()
    {
        return all([&](std::size_t n) {
            return member(n).table().live_count() + 1 == size();
        });
    }

    bool all(const std::function<bool(std::size_t)>& condition)
    {
        for (std::size_t n = 0; n < size(); ++n)
        {
            if (at(n).up && !condition(n))
            {
                return false;
            }
        }
        return true;
    }

private:
    struct event
    {
        core::time_point at;
        std::uint64_t order;
        std::size_t to;
        std::shared_ptr<const std::string> bytes; // A frame; null: a tick.

        bool operator<(const event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    static constexpr core::duration tick_ = std::chrono::milliseconds(100);

    core::duration jitter()
    {
        return core::duration(static_cast<std::int64_t>(
            random_.below(static_cast<std::uint64_t>(tick_.count()))));
    }

    void push(event it)
    {
        events_.push(std::move(it));
    }

    void start(std::size_t n)
    {
        auto& it = *vms_[n];
        it.random = std::make_unique<core::seeded_random>(random_.next());
        membership::member_options options;
        options.self.id = it.id;
        options.self.region = it.region;
        options.self.data_center =
            core::concat(it.region, "-", (n / options_.regions) % 3);
        options.self.http_address =
            core::concat("10.", n / 250, ".", n % 250, ".1:8080");
        options.self.peer_address = it.address;
        options.self.incarnation = it.incarnation;
        for (std::size_t s = 0; s < std::min<std::size_t>(3, size()); ++s)
        {
            options.seeds.push_back(vms_[s]->address);
        }
        it.member =
            membership::fleet_member::create(options, *it.random).value();
    }

    void handle(const event& it)
    {
        auto& to = *vms_[it.to];
        if (!it.bytes)
        {
            push(event{now_ + tick_, next_sequence_++, it.to, nullptr});
            if (!to.up || to.paused)
            {
                return;
            }
            to.member->tick(now_);
            flush(to);
            for (std::size_t n = 0; n < to.inbox.size(); ++n)
            {
                to.member->on_message(to.inbox_from[n], to.inbox[n], now_);
                flush(to);
            }
            to.inbox.clear();
            to.inbox_from.clear();
            return;
        }
        if (!to.up)
        {
            return;
        }
        ++to.received.messages;
        to.received.bytes += it.bytes->size();
        const auto frame = std::get<wire::frame>(
            codec_.decode(*it.bytes, to.address, wire::max_stream_frame_bytes));
        auto decoded = decode(frame.type, frame.payload);
        if (to.paused)
        {
            to.inbox.push_back(std::move(decoded));
            to.inbox_from.push_back(frame.sender);
            return;
        }
        to.member->on_message(frame.sender, decoded, now_);
        flush(to);
    }

    template <typename T>
    static membership::message decode_as(const std::string& bytes)
    {
        return wire::decode<T>(bytes).value();
    }

    static membership::message
    decode(wire::message_type type, const std::string& bytes)
    {
        switch (type)
        {
        case wire::message_type::ping:
            return decode_as<membership::ping>(bytes);
        case wire::message_type::ack:
            return decode_as<membership::ack>(bytes);
        case wire::message_type::ping_request:
            return decode_as<membership::ping_request>(bytes);
        default:
            return decode_as<membership::state_sync>(bytes);
        }
    }

    void flush(vm& from)
    {
        for (auto& it : from.member->take_events())
        {
            if (const auto* w = std::get_if<membership::key_withdrawn>(&it))
            {
                from.withdrawn.insert(w->digest);
            }
            if (const auto* c = std::get_if<membership::config_newer>(&it))
            {
                from.newest_config =
                    std::max(from.newest_config, c->config_version);
                // Simulates a fetch that succeeds immediately.
                from.member->set_config_version(from.newest_config);
            }
        }
        for (auto& it : from.member->take_outgoing())
        {
            send(from, it);
        }
    }

    void send(vm& from, const membership::outgoing_message& it)
    {
        constexpr std::array types{
            wire::message_type::ping, wire::message_type::ack,
            wire::message_type::ping_request, wire::message_type::state_sync};
        const auto type = types[it.body.index()];
        const bool stream = type == wire::message_type::state_sync;
        auto payload = std::visit(
            [](const auto& m) {
                return wire::encode(m);
            },
            it.body);
        // Fails the test if the message exceeds its size limit.
        auto bytes = std::make_shared<const std::string>(
            codec_
                .encode(
                    {type, from.id, from.incarnation, ++next_sequence_,
                     std::move(payload)},
                    it.address,
                    stream ? wire::max_stream_frame_bytes
                           : wire::max_datagram_bytes)
                .value());
        for (auto* count : {&from.sent, &from.sent_by_type[it.body.index()]})
        {
            ++count->messages;
            count->bytes += bytes->size();
        }
        const auto found = by_address_.find(it.address);
        if (found == by_address_.end())
        {
            return;
        }
        const auto& to = *vms_[found->second];
        const bool lost = (filter_ && filter_(from, to, stream)) ||
                          (!stream && random_.uniform() < options_.loss);
        const int copies =
            !stream && random_.uniform() < options_.duplicates ? 2 : 1;
        for (int copy = 0; !lost && copy < copies; ++copy)
        {
            const auto span = options_.max_delay - options_.min_delay;
            const auto delay =
                options_.min_delay +
                core::from_seconds(core::to_seconds(span) * random_.uniform());
            push(event{now_ + delay, next_sequence_++, found->second, bytes});
        }
    }

    fake_options options_;
    core::seeded_random random_;
    const wire::frame_codec codec_ =
        wire::frame_codec::create({{1, "a fleet key of thirty-two bytes!"}, {}})
            .value();
    std::vector<std::unique_ptr<vm>> vms_;
    std::map<std::string, std::size_t> by_address_;
    std::priority_queue<event> events_;
    std::uint64_t next_sequence_ = 0;
    core::time_point now_{std::chrono::hours(1)};
    filter filter_;
};

/// An announcement of upstream `n` in the region with this number.
inline membership::upstream_record
make_upstream(std::size_t n, std::size_t region, std::uint64_t sequence)
{
    membership::upstream_record it;
    it.id = core::concat("upstream", n);
    it.address = core::concat("10.200.", n / 250, ".", n % 250, ":9000");
    it.role = "model";
    it.region = core::concat("region", region);
    it.data_center = core::concat("region", region, "-", n % 3);
    it.models = {"model-a", "model-b"};
    it.version = "1";
    it.capacity = 32;
    it.incarnation = 1;
    it.sequence = sequence;
    return it;
}

} // namespace hyssoploft::tests

#endif
