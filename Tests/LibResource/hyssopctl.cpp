// Guards against commands that are applied twice after lost replies, give up
// while another VM is available, or print a key that is not in force.

#include <LibResource/samples.hpp>
#include <LibResource/withdrawal_set.hpp>
#include <hyssopctl/beast_transport.hpp>
#include <hyssopctl/commands.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <doctest.h>

#include <deque>
#include <fstream>
#include <sstream>
#include <thread>

using namespace hyssoploft;
using namespace hyssoploft::ctl;
using namespace hyssoploft::resource;
using namespace hyssoploft::tests;

namespace {

enum class fault
{
    none,
    refused,    // No connection.
    lost_reply, // Applied, but the reply is lost.
    no_leader   // 503
};

/// Two VMs that share one store; injects a fault into each of the next
/// exchanges.
class fake_admin final : public http_transport
{
public:
    absl::StatusOr<http_reply>
    send(const std::string& address, const http_request& request) override
    {
        sent_requests.push_back(address + " " + request.target);
        auto injected = fault::none;
        if (!faults.empty())
        {
            injected = faults.front();
            faults.pop_front();
        }
        if (injected == fault::refused)
        {
            return absl::UnavailableError("connect: refused");
        }
        if (injected == fault::no_leader)
        {
            return http_reply{503, to_json_text(admin_error{"no leader", {}})};
        }
        auto reply = handle(request);
        if (injected == fault::lost_reply)
        {
            return absl::UnavailableError("receive: end of stream");
        }
        return reply;
    }

    resource_store store = make_store();
    withdrawal_set withdrawals;
    std::deque<fault> faults;
    std::vector<std::string> sent_requests;

private:
    http_reply handle(const http_request& request)
    {
        const auto path = request.target.substr(0, request.target.find('?'));
        if (path == admin_path::resources)
        {
            return {200, to_json_text(list(request.target))};
        }
        if (path == admin_path::withdraw)
        {
            const auto it = *from_json_text<withdraw_request>(request.body);
            auto digests = it.digests;
            for (const auto& name : it.names)
            {
                digests.push_back(store.view().keys.at(name).digest);
            }
            return {
                200, to_json_text(withdraw_response{
                         withdrawals.merge(digests).size(), 0})};
        }
        if (path == admin_path::watch)
        {
            watch_response it{store.version(), false, {}};
            const auto from = std::stoull(
                request.target.substr(request.target.find('=') + 1));
            const auto events = store.changes_since(from);
            it.list_again = !events.ok();
            for (const auto& bytes :
                 events.ok() ? *events : std::vector<std::string>{})
            {
                it.events.push_back(*decode_event(bytes));
            }
            return {200, to_json_text(it)};
        }
        if (path == admin_path::status)
        {
            status_response it{"v1", "", 3, 4, 5, 4, 1, 7, {}, {"s2"}};
            it.vms.push_back({"s2", "south", "alive", 4, true});
            return {200, to_json_text(it)};
        }
        if (path == admin_path::entry_vms)
        {
            return {
                200, to_json_text(entry_vm_list{
                         30, {{"n1", "10.0.0.1:80", "north", "n-a"}}})};
        }
        const auto it = from_json_text<apply_request>(request.body);
        REQUIRE(it.ok());
        const auto batch = make_batch(it->request_id, it->changes);
        const auto result =
            it->dry_run ? store.dry_run(batch) : apply(store, batch);
        return {http_status(result.outcome), to_json_text(result)};
    }

    resource_list list(const std::string& target) const
    {
        const auto query = std::string(admin_path::resources);
        resource_list it{store.version(), {}};
        for (const auto& [id, version] : store.view().versions)
        {
            const auto kind = core::concat(
                query, "?kind=", core::name_of(resource_kind_names, id.kind));
            if (target != query && target != kind &&
                target != core::concat(kind, "&name=", id.name))
            {
                continue;
            }
            it.items.push_back({*find_resource(store.view(), id), version});
        }
        return it;
    }
};

struct command_fixture
{
    explicit command_fixture(std::vector<fault> faults = {})
    {
        server.faults.assign(faults.begin(), faults.end());
    }

    static client_options options()
    {
        client_options it;
        it.addresses = {"a", "b"};
        it.rounds = 2;
        return it;
    }

    fake_admin server;
    admin_client client{server, options()};
    core::seeded_random random{7};
    std::ostringstream out;
    std::ostringstream err;
    command_context context{client, random, out, err};
};

std::string write_file(const std::string& text)
{
    const std::string path = "hyssopctl-test.yaml";
    std::ofstream(path) << text;
    return path;
}

const std::string new_account = "{kind: account, name: new}";

/// Answers one request with the given bytes and closes.
class one_answer_server
{
public:
    explicit one_answer_server(std::string bytes)
        : bytes_(std::move(bytes)),
          address_(
              core::concat("127.0.0.1:", acceptor_.local_endpoint().port())),
          thread_([this] {
              serve();
          })
    {}

    ~one_answer_server()
    {
        join();
    }

    absl::StatusOr<http_reply> post()
    {
        beast_transport transport;
        auto out = transport.send(
            address_, {"POST", "/x", "{}", "token", std::chrono::seconds(10)});
        join();
        return out;
    }

    const std::string& address() const
    {
        return address_;
    }

    /// Valid after post().
    const std::string& request() const
    {
        return request_;
    }

private:
    void serve()
    {
        auto socket = acceptor_.accept();
        boost::asio::streambuf buf;
        boost::asio::read_until(socket, buf, "{}");
        request_.assign(
            boost::asio::buffers_begin(buf.data()),
            boost::asio::buffers_end(buf.data()));
        boost::asio::write(socket, boost::asio::buffer(bytes_));
        acceptor_.close();
    }

    void join()
    {
        if (thread_.joinable())
        {
            thread_.join();
        }
    }

    const std::string bytes_;
    std::string request_; // Of the thread until it has ended.
    boost::asio::io_context io_;
    boost::asio::ip::tcp::acceptor acceptor_{
        io_, {boost::asio::ip::address_v4::loopback(), 0}};
    const std::string address_;
    std::thread thread_;
};

} // namespace

TEST_CASE("a change is applied once, whichever exchange fails")
{
    struct outcome
    {
        std::vector<fault> faults; // The first exchange lists resources.
        exit_code code;
        std::uint64_t version; // Final version of the store.
    };
    const auto none = fault::none;
    const auto lost = fault::lost_reply;
    const auto refused = fault::refused;
    for (const auto& it : std::vector<outcome>{
             {{}, exit_code::done, 2},
             {{refused, none, none}, exit_code::done, 2},
             {{none, fault::no_leader}, exit_code::done, 2},
             {{none, lost}, exit_code::done, 2},
             {{none, lost, lost, lost}, exit_code::done, 2},
             {{none, lost, lost, lost, lost}, exit_code::failed, 2},
             {{none, refused, refused, refused, refused}, exit_code::failed, 1},
             {{refused, refused, refused, refused}, exit_code::failed, 1}})
    {
        CAPTURE(it.faults.size());
        command_fixture b(it.faults);
        CHECK(apply_file(b.context, write_file(new_account)) == it.code);
        CHECK_EQ(b.server.store.version(), it.version);
    }
}

TEST_CASE("the outcome of a request whose replies were all lost can be queried")
{
    const auto lost = fault::lost_reply;
    command_fixture b({fault::none, lost, lost, lost, lost});
    apply_file(b.context, write_file(new_account));
    const auto text = b.err.str();
    const auto at = text.find("hyssopctl outcome ");
    REQUIRE(at != std::string::npos);
    const auto id = text.substr(at + 18, 32);
    CHECK(show_outcome(b.context, id) == exit_code::done);
    CHECK_EQ(b.out.str(), "applied at version 2\n");
}

TEST_CASE("a file is compared, applied once and then unchanged")
{
    command_fixture b;
    const auto path = write_file(
        "- {kind: account, name: shop, home_region: north, weight: 2}\n"
        "- " +
        new_account);
    CHECK(diff_file(b.context, path) == exit_code::differs);
    CHECK(
        b.out.str().find("~ account/shop\n    weight: 1E0 -> 2E0\n") !=
        std::string::npos);
    CHECK(b.out.str().find("+ account/new ") != std::string::npos);
    CHECK_EQ(b.server.store.version(), 1);
    CHECK(apply_file(b.context, path) == exit_code::done);
    CHECK(apply_file(b.context, path) == exit_code::done);
    CHECK(diff_file(b.context, path) == exit_code::done);
    CHECK_EQ(b.server.store.version(), 2);
}

TEST_CASE("findings of a file are printed and nothing is sent")
{
    command_fixture b;
    const auto path = write_file("{kind: rate, name: none}");
    CHECK(apply_file(b.context, path) == exit_code::usage);
    CHECK_EQ(
        b.err.str(),
        path + ":1: rate/none.name: account 'none' does not exist\n");
    CHECK(apply_file(b.context, "missing.yaml") == exit_code::usage);
    CHECK_EQ(b.server.store.version(), 1);
}

TEST_CASE("a change between listing and applying is a conflict")
{
    command_fixture b;
    const auto listed = list_resources(b.context, "", "");
    apply(b.server.store, make_batch("other", {set(make_account("x"))}));
    CHECK(
        send_changes(b.context, {set(make_account("x", 2), 0)}) ==
        exit_code::conflict);
    CHECK(b.out.str().find("expected version 0, is at 2") != std::string::npos);
}

TEST_CASE("a key is shown only once it is in force, and never sent")
{
    command_fixture b({fault::lost_reply});
    CHECK(create_key(b.context, "shop", "shop-2", "secret") == exit_code::done);
    const auto shown = b.out.str();
    REQUIRE_EQ(shown.size(), 7 + 64 + 1);
    const auto digest = core::to_hex(
        core::hmac_sha256("secret", shown.substr(0, shown.size() - 1)));
    CHECK_EQ(b.server.store.view().keys.at("shop-2").digest, digest);

    command_fixture c;
    CHECK(create_key(c.context, "none", "k", "secret") == exit_code::failed);
    CHECK_EQ(c.out.str(), "");
    CHECK(
        create_key(c.context, "shop", "shop-1", "secret") ==
        exit_code::conflict);
    CHECK_EQ(c.out.str(), "");
}

TEST_CASE("keys are withdrawn by name and digest, with resends")
{
    command_fixture b({fault::lost_reply});
    const std::string digest(64, 'a');
    CHECK(withdraw_keys(b.context, {"shop-1", digest}) == exit_code::done);
    CHECK(b.server.withdrawals.contains(digest));
    CHECK(b.server.withdrawals.contains(make_key("shop-1", "shop").digest));
    CHECK(withdraw_keys(b.context, {}) == exit_code::usage);
    CHECK(withdraw_keys(b.context, {"no/name"}) == exit_code::usage);
}

TEST_CASE("a watch prints each change once and continues after a failure")
{
    command_fixture b({fault::none, fault::refused, fault::no_leader});
    apply(b.server.store, make_batch("1", {set(make_account("x"))}));
    apply(
        b.server.store, make_batch("2", {remove(resource_kind::account, "x")}));
    CHECK(watch(b.context, 1, 2) == exit_code::done);
    CHECK_EQ(b.out.str().substr(0, 16), "2 set account/x ");
    CHECK(b.out.str().find("\n3 delete account/x\n") != std::string::npos);
}

TEST_CASE("resources are listed and deleted at the version that was listed")
{
    command_fixture b;
    apply(b.server.store, make_batch("1", {set(make_account("x"))}));
    CHECK(get_resources(b.context, "account", "x") == exit_code::done);
    CHECK_EQ(
        b.out.str(),
        R"({"kind":"account","name":"x","home_region":"","weight":1E0,)"
        "\"version\":2}\n");
    CHECK(delete_resource(b.context, "account", "x") == exit_code::done);
    CHECK_EQ(b.server.store.version(), 3);
    CHECK(get_resources(b.context, "account", "x") == exit_code::failed);
    CHECK(delete_resource(b.context, "account", "x") == exit_code::failed);
    CHECK(get_resources(b.context, "acount", "") == exit_code::usage);
    CHECK(delete_resource(b.context, "account", "a&b") == exit_code::usage);
    CHECK_EQ(b.server.store.version(), 3);
}

TEST_CASE("status lists lagging VMs, entry-vms the addresses")
{
    command_fixture b;
    CHECK(show_status(b.context) == exit_code::done);
    CHECK(b.out.str().find("leader: none known\n") != std::string::npos);
    CHECK(
        b.out.str().find("  s2 south alive version 4 control\n") !=
        std::string::npos);
    CHECK(b.out.str().find("lacks version 5: s2\n") != std::string::npos);
    b.out.str("");
    CHECK(show_entry_vms(b.context) == exit_code::done);
    CHECK_EQ(b.out.str(), "10.0.0.1:80 n1 north n-a\n");
}

TEST_CASE("drain requires one VM address, so that no second VM is drained")
{
    command_fixture b;
    CHECK(drain(b.context) == exit_code::usage);
    CHECK(b.server.sent_requests.empty());
}

// Such a status was shown as an answer of the VM: "HTTP status 0".
TEST_CASE("bytes that are no answer are a failure of the transport")
{
    const std::string rest = "\r\nContent-Length: 2\r\n\r\n{}";
    const std::string rows[] = {
        "HTTP/1.1 000 X" + rest,
        "HTTP/1.1 099 X" + rest,
        "HTTP/1.1 101 X" + rest,
        "HTTP/1.1 600 X" + rest,
        "HTTP/1.1 999 X" + rest,
        "HTTP/1.1 200 OK\r\nX Y: 1" + rest,
        "HTTP/1.1 200 OK\r\nX\x01: 1" + rest,
        "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}",
    };
    for (const auto& row : rows)
    {
        CAPTURE(row);
        CHECK(absl::IsUnavailable(one_answer_server(row).post().status()));
    }
}

TEST_CASE("the transport sends the token and reads the reply")
{
    one_answer_server server(
        "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\nno");
    const auto reply = server.post();
    REQUIRE(reply.ok());
    CHECK_EQ(reply->status, 409);
    CHECK_EQ(reply->body, "no");
    const auto& head = server.request();
    CHECK(head.starts_with("POST /x HTTP/1.1\r\n"));
    CHECK(head.find("Authorization: Bearer token\r\n") != std::string::npos);

    beast_transport transport;
    CHECK_FALSE(transport.send(server.address(), {"GET", "/", "", ""}).ok());
    for (const auto* it :
         {"", "127.0.0.1", "127.0.0.1:0", "host:80", "1.2.3.4:x"})
    {
        CHECK_FALSE(transport.send(it, {"GET", "/", "", ""}).ok());
    }
}
