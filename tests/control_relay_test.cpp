#include "control_relay.h"

#include "small_stack.h"
#include "system_clock.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <initializer_list>
#include <mutex>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

// A node with links and a relay. It answers a message with its own name, the payload, the sender's
// name and the path.
struct relay_node {
    explicit relay_node(const std::string& node_name) : name(node_name)
    {
        links = link_hub::start(
            {.self = {.vm_name = name, .run = {1}},
             .fleet_key = "fleet key of the tests",
             .on_control = [this](const control_request& it) { return answer(it); }});
        relay = std::make_unique<control_relay>(link_identity{.vm_name = name, .run = {1}}, *links);
    }
    ~relay_node() { links->stop(); }

    std::optional<std::string> answer(const control_request& it)
    {
        if (it.path == relay_path)
            return relay->forward(it);
        if (it.path == relayed_path) {
            const auto inner = control_relay::unwrap(it);
            return inner ? answer(*inner) : std::nullopt;
        }
        return name + " received " + it.payload + " from " + it.peer.vm_name + " at " + it.path;
    }

    member_record record() const
    {
        return {.vm = id_of<vm_id>(name),
                .name = name,
                .run = {1},
                .version = 1,
                .link = links->local(),
                .domain = {1}};
    }

    std::string name;
    std::unique_ptr<link_hub> links;
    std::unique_ptr<control_relay> relay;
};

// Gives each node a directory of all of them.
void share_directory(std::initializer_list<relay_node*> nodes)
{
    member_directory all;
    for (const relay_node* it : nodes)
        all.merge(it->record());
    for (const relay_node* it : nodes)
        it->relay->set_directory(all);
}

struct pending_answer {
    void set(const result<std::string, link_error>& it)
    {
        const std::lock_guard lock(mutex);
        text = failed(it) ? "failed: " + describe(error_of(it)) : value_of(it);
        changed.notify_all();
    }
    std::string wait()
    {
        std::unique_lock lock(mutex);
        changed.wait_for(lock, 5s, [this] { return !text.empty(); });
        return text;
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::string text;
};

} // namespace

TEST(control_relay, message_is_relayed_when_its_target_is_not_reachable_directly)
{
    relay_node a("a");
    relay_node b("b");
    relay_node c("c");
    share_directory({&a, &b, &c});
    for (const bool reachable : {true, false}) {
        a.relay->set_reachable(id_of<vm_id>("c"), reachable);
        pending_answer got;
        ASSERT_TRUE(a.relay->call(id_of<vm_id>("c"), "/control/test", "word", 2s,
                                  [&](const auto& it) { got.set(it); }));
        EXPECT_EQ(got.wait(), "c received word from a at /control/test") << reachable;
    }
}

// Guards against a relay that starts only when a probe or the link itself detects the cut, which is
// much later than the first timeout.
TEST(control_relay, messages_are_relayed_after_one_to_the_target_timed_out)
{
    relay_node a("a");
    relay_node b("b");
    relay_node c("c");
    share_directory({&a, &b, &c});
    a.links->set_cut(to_string(c.links->local()), cut_direction::both);
    a.relay->suspect(id_of<vm_id>("c"));
    pending_answer got;
    ASSERT_TRUE(a.relay->call(id_of<vm_id>("c"), "/control/test", "word", 2s,
                              [&](const auto& it) { got.set(it); }));
    EXPECT_EQ(got.wait(), "c received word from a at /control/test");
}

TEST(control_relay, message_with_the_identity_of_another_sender_is_not_forwarded)
{
    relay_node a("a");
    relay_node b("b");
    member_directory all;
    all.merge(a.record());
    all.merge(b.record());
    b.relay->set_directory(all);
    control_relay forger({.vm_name = "forged", .run = {1}}, *a.links);
    forger.set_directory(all);
    member_record away = a.record();
    away.vm = id_of<vm_id>("away");
    away.name = "away";
    all.merge(away);
    forger.set_directory(all);
    forger.set_reachable(away.vm, false);
    forger.set_reachable(a.record().vm, false);
    pending_answer got;
    ASSERT_TRUE(
        forger.call(away.vm, "/control/test", "word", 1s, [&](const auto& it) { got.set(it); }));
    EXPECT_TRUE(got.wait().starts_with("failed")) << got.text;
}

TEST(control_relay, odd_relayed_messages_are_refused)
{
    std::string nested;
    for (int n = 0; n < 5'000; ++n)
        nested += "\x81";
    run_on_small_stack([&] {
        for (const std::string& it :
             {std::string(), nested, nested + "\x01", "\x9b" + std::string(8, '\xff'),
              "\x9b\x3f" + std::string(7, '\xff'), std::string("\x85\x01\x01\x01\x01\x01")}) {
            EXPECT_FALSE(control_relay::unwrap(
                {.peer = {}, .path = std::string(relayed_path), .payload = it, .defer = {}}));
        }
    });
}
