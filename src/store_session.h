#pragma once

// A node's dealings with a store that also holds the configuration: joins the fleet (fleet key, own
// entry under a lease, addresses of others), and reads the configuration while this node has to.
// One thread; calls are made one after another, so a slow store delays them and never piles them
// up.

#include "endpoint.h"
#include "jitter_backoff.h"
#include "log.h"
#include "store_messages.h"
#include "system_clock.h"
#include "types.h"

#include <openssl/rand.h>

#include <array>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace jasminebank {

/// Keys of the fleet in the store.
constexpr std::string_view fleet_prefix = "jasminebank/fleet/";
constexpr std::string_view fleet_key_key = "jasminebank/fleet/key";
constexpr std::string_view fleet_members_prefix = "jasminebank/fleet/members/";

/// What a node learns when it joins.
struct joined_fleet {
    std::string fleet_key;
    std::vector<endpoint> peers; ///< links of the nodes that have an entry, without this one
};

struct store_session_options {
    std::string vm_name;
    endpoint link;          ///< own address, told to others
    std::string config_key; ///< of the configuration in the store
    /// Between two reads of the configuration; a change is told to the fleet at most this late.
    duration read_interval = std::chrono::milliseconds(500);
    /// After a call that failed, doubled up to `read_interval` times four; the store's return is
    /// noticed within that.
    duration retry_interval = std::chrono::milliseconds(250);
    duration idle_interval =
        std::chrono::milliseconds(250); ///< between looks at `must_read_config`
    /// Of the own entry; it is a hint for nodes that join, so a late end harms nothing.
    duration entry_ttl = std::chrono::seconds(60);
    /// True while this node is to read the configuration itself.
    std::function<bool()> must_read_config;
    /// The value of the configuration changed, or was read for the first time. True when it is in
    /// force now, or was before.
    std::function<bool(const std::string&)> on_config;
    /// What was read by a call sent at this time is in force.
    std::function<void(time_point)> on_config_confirmed;
    /// True once the process is to end: joining is given up.
    std::function<bool()> is_cancelled = [] { return false; };
};

/// A session without the type of its store.
class store_session_base {
public:
    virtual ~store_session_base() = default;
    /// Joins the fleet, trying again until it works; nothing after `stop`, or once cancelled.
    virtual std::optional<joined_fleet> join() = 0;
    /// Begins to read the configuration on a thread of its own. After `join`.
    virtual void start() = 0;
    virtual void stop() = 0;
    /// Ends the own entry, for a planned stop.
    virtual void leave() = 0;
};

template <key_value_store Store>
class store_session : public store_session_base {
public:
    store_session(store_session_options options, std::unique_ptr<Store> store)
        : options_(std::move(options)), store_(std::move(store)),
          member_key_(std::string(fleet_members_prefix) + options_.vm_name)
    {
    }
    ~store_session() override { stop(); }

    std::optional<joined_fleet> join() override
    {
        duration wait = options_.retry_interval;
        while (true) {
            if (auto out = try_join()) {
                log_event(event::store_joined, "peers={}", out->peers.size());
                return out;
            }
            if (!wait_unless_cancelled(boot_now() + wait))
                return std::nullopt;
            wait = std::min(wait * 2, options_.read_interval * 4);
        }
    }

    void start() override
    {
        thread_ = std::thread([this] { run(); });
    }

    void stop() override
    {
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
        }
        wake_.notify_all();
        if (thread_.joinable())
            thread_.join();
    }

    void leave() override
    {
        stop();
        if (lease_ != lease_id{})
            static_cast<void>(store_->revoke_lease(lease_)); // it ends by itself otherwise
    }

private:
    // False when joining is to be given up.
    bool wait_unless_cancelled(time_point until)
    {
        constexpr duration longest_step = std::chrono::milliseconds(100);
        std::unique_lock lock(mutex_);
        while (!stopping_ && !options_.is_cancelled() && boot_now() < until)
            wake_.wait_for(lock, std::min(until - boot_now(), longest_step));
        return !stopping_ && !options_.is_cancelled();
    }

    static std::string random_fleet_key()
    {
        std::array<unsigned char, 24> bytes{};
        RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
        std::string out;
        for (const unsigned char it : bytes)
            out += fmt::format("{:02x}", it);
        return out;
    }

    void on_call_failed(std::string_view call, const store_error& ec)
    {
        if (!std::exchange(is_unreachable_, true))
            log_event(event::store_away, "call={} error={} cause=\"{}\"", call,
                      static_cast<unsigned>(ec.kind), ec.detail);
    }

    void on_call_succeeded()
    {
        if (!std::exchange(is_unreachable_, false))
            return;
        log_event(event::store_back, "lease={}", lease_.value);
        must_check_lease_ = true;
    }

    // The own entry is written before the others are read: of two nodes that join at once, at least
    // one then learns of the other.
    std::optional<joined_fleet> try_join()
    {
        if (!put_member_entry())
            return std::nullopt;
        const auto fleet_entries = store_->range(prefix_range(std::string(fleet_prefix)));
        if (failed(fleet_entries)) {
            on_call_failed("members", error_of(fleet_entries));
            return std::nullopt;
        }
        on_call_succeeded();
        joined_fleet out;
        for (const store_entry& it : value_of(fleet_entries).entries) {
            if (it.key == fleet_key_key)
                out.fleet_key = it.value;
            const auto peer = parse_endpoint(it.value);
            if (it.key.starts_with(fleet_members_prefix) && it.key != member_key_ && peer)
                out.peers.push_back(*peer);
        }
        if (out.fleet_key.empty() && !create_fleet_key(out.fleet_key))
            return std::nullopt;
        return out;
    }

    bool put_member_entry()
    {
        if (lease_ == lease_id{}) {
            const auto lease = store_->grant_lease(options_.entry_ttl);
            if (failed(lease)) {
                on_call_failed("lease", error_of(lease));
                return false;
            }
            lease_ = value_of(lease).lease;
            next_renewal_ = boot_now() + options_.entry_ttl / 3;
        }
        const auto done = store_->commit(
            {.compares = {},
             .puts = {{.key = member_key_, .value = to_string(options_.link), .lease = lease_}},
             .deletes = {}});
        if (!failed(done))
            return true;
        if (error_of(done).kind == store_error_kind::lease_lost)
            lease_ = {};
        on_call_failed("entry", error_of(done));
        return false;
    }

    // Makes the fleet key, unless another node was faster, whose key is then taken.
    bool create_fleet_key(std::string& key)
    {
        const std::string new_key = random_fleet_key();
        const auto done = store_->commit(
            {.compares = {absent(std::string(fleet_key_key))},
             .puts = {{.key = std::string(fleet_key_key), .value = new_key, .lease = {}}},
             .deletes = {}});
        if (failed(done)) {
            on_call_failed("fleet key", error_of(done));
            return false;
        }
        if (!value_of(done).succeeded && value_of(done).found.empty())
            return false;
        key = value_of(done).succeeded ? new_key : value_of(done).found.front().value;
        return true;
    }

    // True when the configuration was read.
    bool read_config()
    {
        const time_point sent_at = boot_now();
        const auto read = store_->range({.key = options_.config_key, .range_end = {}});
        if (failed(read)) {
            on_call_failed("configuration", error_of(read));
            return false;
        }
        on_call_succeeded();
        bool in_force = true;
        if (!value_of(read).entries.empty()) {
            const store_entry& entry = value_of(read).entries.front();
            if (entry.mod_revision != config_revision_)
                config_in_force_ = options_.on_config(entry.value);
            config_revision_ = entry.mod_revision;
            in_force = config_in_force_;
        }
        if (in_force)
            options_.on_config_confirmed(sent_at);
        return true;
    }

    void renew_member_entry()
    {
        next_renewal_ = boot_now() + options_.entry_ttl / 3;
        must_check_lease_ = false;
        const auto kept = store_->keep_lease_alive(lease_);
        if (!failed(kept)) {
            on_call_succeeded();
            must_check_lease_ = false;
            return;
        }
        if (error_of(kept).kind != store_error_kind::lease_lost) {
            on_call_failed("renewal", error_of(kept));
            next_renewal_ = boot_now() + options_.read_interval;
            return;
        }
        lease_ = {};
        if (!put_member_entry())
            next_renewal_ = boot_now() + options_.read_interval;
    }

    void run()
    {
        std::unique_lock lock(mutex_);
        duration retry = options_.retry_interval;
        while (!stopping_) {
            lock.unlock();
            duration wait = options_.idle_interval;
            if (options_.must_read_config()) {
                const bool was_read = read_config();
                retry = was_read ? options_.retry_interval
                                 : std::min(retry * 2, options_.read_interval * 4);
                wait = was_read ? options_.read_interval : retry;
            }
            if (boot_now() >= next_renewal_ || (must_check_lease_ && !is_unreachable_))
                renew_member_entry();
            lock.lock();
            wake_.wait_for(lock, wait, [this] { return stopping_; });
        }
    }

    const store_session_options options_;
    const std::unique_ptr<Store> store_;
    const std::string member_key_;
    lease_id lease_{};
    time_point next_renewal_{};
    store_revision config_revision_ = -1;
    bool config_in_force_ = false;
    bool is_unreachable_ = false;
    bool must_check_lease_ = false;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace jasminebank
