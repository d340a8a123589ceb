#pragma once

// Session of a node with the store that holds the configuration. It joins the fleet (obtains the
// fleet key, a secret shared by all nodes, writes the member entry of this node under a lease,
// reads the addresses of the other members), renews the lease, and polls the configuration while
// this node is responsible for that: its value is transferred only after a change of the store. All
// calls are made one after another on one thread, so a slow store delays calls but never
// accumulates them.

#include "config_account.h"
#include "endpoint.h"
#include "evacuation.h"
#include "jitter_backoff.h"
#include "log.h"
#include "store_era.h"
#include "store_messages.h"
#include "store_snapshot.h"
#include "system_clock.h"
#include "types.h"

#include <openssl/rand.h>

#include <algorithm>
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

/// Store keys of the fleet.
constexpr std::string_view fleet_prefix = "jasminebank/fleet/";
constexpr std::string_view fleet_key_key = "jasminebank/fleet/key";
constexpr std::string_view fleet_members_prefix = "jasminebank/fleet/members/";
constexpr std::string_view fleet_withdrawn_prefix = "jasminebank/fleet/withdrawn/";
constexpr std::string_view fleet_victims_prefix = "jasminebank/fleet/victims/";

/// Result of joining the fleet.
struct joined_fleet {
    std::string fleet_key;
    std::vector<endpoint> peers; ///< link addresses of the other nodes with a member entry
    std::string withdrawals{};   ///< saved by earlier runs of this node
    std::string victims{};       ///< likewise
    std::vector<std::string> victims_of_others{}; ///< saved by the other nodes
};

/// What a node saves in the store for later runs, each under a key and a lease of its own.
enum class saved_kind : std::uint8_t {
    withdrawals, ///< see `withdrawal_list`
    victims,     ///< see `saved_victims`
};
constexpr std::size_t saved_kinds = 2;

struct store_session_options {
    std::string vm_name;
    endpoint link;          ///< address of this node, published in its member entry
    std::string config_key; ///< store key of the configuration
    /// Prefix of the store keys that name evacuated failure domains, with the domain's name as the
    /// rest of the key. Empty: they are not read.
    std::string evacuation_prefix{};
    /// Prefix that `config_key` and `evacuation_prefix` have in common: one call reads all of its
    /// keys. Used only if `evacuation_prefix` is not empty.
    std::string operator_prefix{};
    /// Interval between two reads of the configuration; it bounds the delay until the fleet learns
    /// of a change.
    duration read_interval = std::chrono::milliseconds(500);
    /// Wait after a failed call; doubles up to four times `read_interval`, which bounds the time
    /// until the recovery of the store is detected.
    duration retry_interval = std::chrono::milliseconds(250);
    duration idle_interval =
        std::chrono::milliseconds(250); ///< between checks of `must_read_config`
    /// TTL of the member entry. The entry only helps joining nodes to find peers, so one that
    /// outlives its node does no harm.
    duration entry_ttl = std::chrono::seconds(60);
    /// How long saved values are kept for the next run. Longer than backend servers take to leave.
    duration saved_ttl = std::chrono::minutes(10);
    /// Maximum time that `save` waits for the store. Backend servers wait about a second for the
    /// confirmation of a withdrawal.
    duration save_timeout = std::chrono::milliseconds(300);
    /// Whether the whole fleet starts for the first time. If not, a node that finds no fleet key or
    /// no other member waits for `fleet_wait`: the fleet writes both again after a restore.
    bool first_start = true;
    duration fleet_wait = std::chrono::seconds(3);
    /// Returns true while this node must read the configuration itself.
    std::function<bool()> must_read_config;
    /// Returns what to save of a kind. Called by `save`, and again when the value is written, so
    /// that the newest is written last.
    std::function<std::string(saved_kind)> value_to_save = [](saved_kind) { return std::string(); };
    /// Called with the value of the configuration after each read, and with the time at which the
    /// read was sent. Returns true if that configuration is in force, newly or already. Values are
    /// compared, not their revisions: a store that was restored from an older copy gives revisions
    /// out again.
    std::function<bool(const std::string&, time_point)> on_config;
    /// Called after each read of the configuration's value.
    std::function<void(const config_transfer&)> on_config_read = [](const config_transfer&) {};
    /// Called with the evacuated failure domains of each read, before `on_config` of that read.
    std::function<void(evacuation_read)> on_evacuations = [](const evacuation_read&) {};
    /// Called after each read that found the configuration in force here to be that of the store,
    /// or the store to hold none; the argument is the time at which the read was sent.
    std::function<void(time_point)> on_config_confirmed;
    /// Returns true once the process must stop; `join` then returns nullopt.
    std::function<bool()> is_cancelled = [] { return false; };
};

/// Interface of a session, independent of the store type.
class store_session_base {
public:
    virtual ~store_session_base() = default;
    /// Joins the fleet and retries until it succeeds. Returns nullopt after `stop` or once
    /// `is_cancelled` returns true.
    virtual std::optional<joined_fleet> join() = 0;
    /// Starts the thread that renews the lease and reads the configuration. Call after `join`.
    virtual void start() = 0;
    virtual void stop() = 0;
    /// Saves `value_to_save`, which `joined_fleet` of the next run contains. Returns once it is
    /// written or `save_timeout` has passed; the session then continues to try. Thread-safe.
    virtual void save(saved_kind kind) = 0;
    /// Removes the member entry, for a planned shutdown.
    virtual void leave() = 0;
};

template <key_value_store Store>
class store_session : public store_session_base {
public:
    store_session(store_session_options options, std::unique_ptr<Store> store)
        : options_(std::move(options)), store_(std::move(store)),
          member_key_(std::string(fleet_members_prefix) + options_.vm_name)
    {
        saved_of(saved_kind::withdrawals).key =
            std::string(fleet_withdrawn_prefix) + options_.vm_name;
        saved_of(saved_kind::victims).key = std::string(fleet_victims_prefix) + options_.vm_name;
    }
    ~store_session() override { stop(); }

    std::optional<joined_fleet> join() override
    {
        duration wait = options_.retry_interval;
        while (true) {
            if (auto out = try_join()) {
                log_event(event::store_joined,
                          "peers={} withdrawals_bytes={} victims_bytes={} victims_of_others={}",
                          out->peers.size(), out->withdrawals.size(), out->victims.size(),
                          out->victims_of_others.size());
                fleet_key_ = out->fleet_key;
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

    void save(saved_kind kind) override
    {
        const std::string value = options_.value_to_save(kind);
        std::unique_lock lock(mutex_);
        saved_value& it = saved_of(kind);
        if (value == it.wanted)
            return;
        it.wanted = value;
        const std::uint64_t wanted = ++it.wanted_version;
        it.is_due = true;
        it.next_attempt = {};
        wake_.notify_all();
        saved_changed_.wait_for(lock, options_.save_timeout,
                                [&] { return stopping_ || it.written_version >= wanted; });
    }

    void leave() override
    {
        stop();
        for (const saved_kind it : {saved_kind::withdrawals, saved_kind::victims}) {
            if (saved_of(it).is_due)
                write(it);
        }
        if (lease_ != lease_id{})
            static_cast<void>(store_->revoke_lease(lease_)); // else the lease expires later
    }

private:
    struct saved_value {
        std::string key;
        std::string wanted;          // at the last call of `save`
        store_revision revision = 0; // of `key`, as last seen
        bool is_due = false;         // to be written
        time_point next_attempt{};
        std::uint64_t wanted_version = 0; // counts the calls of `save`
        std::uint64_t written_version = 0;
    };

    saved_value& saved_of(saved_kind it) { return saved_.at(static_cast<std::size_t>(it)); }

    // Returns false if the session was stopped or cancelled.
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
        if (era_.observe(store_->era(), boot_now())) {
            log_event(event::store_restored, "era={}", store_->era());
            must_write_again_ = true;
        }
        if (!std::exchange(is_unreachable_, false))
            return;
        log_event(event::store_back, "lease={}", lease_.value);
        must_check_lease_ = true;
    }

    // Writes the entry of this node before it reads the others: of two nodes that join at the same
    // time, at least one then sees the other.
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
            for (saved_value& own : saved_) {
                if (it.key == own.key) {
                    own.wanted = it.value;
                    own.revision = it.mod_revision;
                }
            }
            if (it.key.starts_with(fleet_victims_prefix) &&
                it.key != saved_of(saved_kind::victims).key)
                out.victims_of_others.push_back(it.value);
            const auto peer = parse_endpoint(it.value);
            if (it.key.starts_with(fleet_members_prefix) && it.key != member_key_ && peer)
                out.peers.push_back(*peer);
        }
        out.withdrawals = saved_of(saved_kind::withdrawals).wanted;
        out.victims = saved_of(saved_kind::victims).wanted;
        if (must_wait_for_fleet(out, boot_now()))
            return std::nullopt;
        if (out.fleet_key.empty() && !create_fleet_key(out.fleet_key))
            return std::nullopt;
        return out;
    }

    bool must_wait_for_fleet(const joined_fleet& found, time_point now)
    {
        if (options_.first_start || (!found.fleet_key.empty() && !found.peers.empty()))
            return false;
        if (!alone_since_)
            alone_since_ = now;
        return now - *alone_since_ < options_.fleet_wait;
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

    // Creates the fleet key; if another node created it first, returns that node's key in `key`.
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

    // Pages of a read that are of two eras have no common revision, so they are read once more.
    result<store_range, store_error> read_operator_keys()
    {
        if (options_.evacuation_prefix.empty())
            return store_->range(store_key_range{.key = options_.config_key, .range_end = {}});
        const std::uint64_t era = store_->era();
        auto read = store_->range(prefix_range(options_.operator_prefix));
        if (failed(read) || store_->era() == era)
            return read;
        return store_->range(prefix_range(options_.operator_prefix));
    }

    evacuation_read evacuations_of(const store_range& read, time_point sent_at) const
    {
        const store_revision revision = std::max<store_revision>(read.revision, 0);
        evacuation_read out{
            .stamp = {.era = store_->era(), .revision = static_cast<std::uint64_t>(revision)},
            .is_settled = era_.is_settled(sent_at)};
        for (const store_entry& it : read.entries) {
            if (it.key.starts_with(options_.evacuation_prefix))
                out.domains.push_back(it.key.substr(options_.evacuation_prefix.size()));
        }
        return out;
    }

    static std::size_t value_bytes(const store_range& read)
    {
        std::size_t out = 0;
        for (const store_entry& it : read.entries)
            out += it.value.size();
        return out;
    }

    // Returns true if the store answered.
    bool read_config()
    {
        if constexpr (revision_store<Store>) {
            const time_point sent_at = boot_now();
            if (!snapshot_.is_known())
                return read_value();
            const auto revision = store_->revision();
            if (failed(revision)) {
                on_call_failed("revision", error_of(revision));
                return false;
            }
            on_call_succeeded();
            if (snapshot_.is_current({.era = store_->era(), .revision = value_of(revision)})) {
                confirm_config(sent_at);
                return true;
            }
        }
        return read_value();
    }

    bool read_value()
    {
        const time_point sent_at = boot_now();
        const auto read = read_operator_keys();
        if (failed(read)) {
            options_.on_config_read({.took = boot_now() - sent_at, .cause = error_of(read).detail});
            on_call_failed("configuration", error_of(read));
            return false;
        }
        options_.on_config_read(
            {.took = boot_now() - sent_at, .bytes = value_bytes(value_of(read))});
        on_call_succeeded();
        last_evacuations_ = evacuations_of(value_of(read), sent_at);
        if (!options_.evacuation_prefix.empty())
            options_.on_evacuations(last_evacuations_);
        bool in_force = true;
        for (const store_entry& it : value_of(read).entries) {
            if (it.key == options_.config_key)
                in_force = options_.on_config(it.value, sent_at);
        }
        snapshot_.record({.era = store_->era(), .revision = value_of(read).revision}, in_force);
        if (in_force && era_.is_settled(sent_at))
            options_.on_config_confirmed(sent_at);
        return true;
    }

    // The store still holds what the last read found.
    void confirm_config(time_point sent_at)
    {
        last_evacuations_.is_settled = era_.is_settled(sent_at);
        if (!options_.evacuation_prefix.empty())
            options_.on_evacuations(last_evacuations_);
        if (snapshot_.is_in_force() && era_.is_settled(sent_at))
            options_.on_config_confirmed(sent_at);
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

    // Writes what a restored store may have lost. The old lease is forgotten, not renewed: its id
    // may have been given to another node.
    void write_again()
    {
        lease_ = {};
        {
            const std::lock_guard lock(mutex_);
            for (saved_value& it : saved_) {
                it.is_due = !it.wanted.empty();
                it.revision = 0;
            }
        }
        must_write_again_ = !put_member_entry() || !put_fleet_key();
    }

    // A key made by a node that started while the key was lost is replaced: the fleet uses this
    // one.
    bool put_fleet_key()
    {
        const std::string name(fleet_key_key);
        const auto found = store_->range(store_key_range{.key = name, .range_end = {}});
        if (failed(found)) {
            on_call_failed("fleet key", error_of(found));
            return false;
        }
        const auto& entries = value_of(found).entries;
        if (!entries.empty() && entries.front().value == fleet_key_)
            return true;
        const store_compare expected =
            entries.empty() ? absent(name) : unchanged_since(name, entries.front().mod_revision);
        const auto done = store_->commit({.compares = {expected},
                                          .puts = {{.key = name, .value = fleet_key_, .lease = {}}},
                                          .deletes = {}});
        if (failed(done))
            on_call_failed("fleet key", error_of(done));
        return !failed(done) && value_of(done).succeeded;
    }

    // Requires the mutex.
    static bool is_write_due(const saved_value& it, time_point now)
    {
        return it.is_due && now >= it.next_attempt;
    }

    void write_due_values()
    {
        for (const saved_kind kind : {saved_kind::withdrawals, saved_kind::victims}) {
            std::unique_lock lock(mutex_);
            if (!is_write_due(saved_of(kind), boot_now()))
                continue;
            lock.unlock();
            write(kind);
        }
    }

    // The entry has a lease of its own, which outlives the session. The write is conditional: an
    // earlier one whose outcome is unknown may be executed later and must not replace a newer one.
    void write(saved_kind kind)
    {
        saved_value& it = saved_of(kind);
        std::uint64_t version = 0;
        {
            const std::lock_guard lock(mutex_);
            version = it.wanted_version;
            it.next_attempt = boot_now() + options_.read_interval;
        }
        const std::string value = options_.value_to_save(kind);
        const auto lease = store_->grant_lease(options_.saved_ttl);
        if (failed(lease)) {
            on_call_failed("saved value's lease", error_of(lease));
            return;
        }
        const store_compare expected =
            it.revision == 0 ? absent(it.key) : unchanged_since(it.key, it.revision);
        const auto done = store_->commit(
            {.compares = {expected},
             .puts = {{.key = it.key, .value = value, .lease = value_of(lease).lease}},
             .deletes = {}});
        if (failed(done)) {
            on_call_failed("saved value", error_of(done));
            return;
        }
        on_call_succeeded();
        const std::lock_guard lock(mutex_);
        if (!value_of(done).succeeded) {
            it.revision =
                value_of(done).found.empty() ? 0 : value_of(done).found.front().mod_revision;
            it.next_attempt = {};
            return;
        }
        it.revision = value_of(done).revision;
        it.written_version = version;
        it.is_due = it.wanted_version != version;
        saved_changed_.notify_all();
    }

    void run()
    {
        std::unique_lock lock(mutex_);
        duration retry = options_.retry_interval;
        while (!stopping_) {
            lock.unlock();
            write_due_values();
            duration wait = options_.idle_interval;
            if (options_.must_read_config()) {
                const bool was_read = read_config();
                retry = was_read ? options_.retry_interval
                                 : std::min(retry * 2, options_.read_interval * 4);
                wait = was_read ? options_.read_interval : retry;
            }
            if (must_write_again_ && !is_unreachable_)
                write_again();
            if (boot_now() >= next_renewal_ || (must_check_lease_ && !is_unreachable_))
                renew_member_entry();
            lock.lock();
            wake_.wait_for(lock, wait, [this] {
                return stopping_ || std::ranges::any_of(saved_, [](const saved_value& it) {
                           return is_write_due(it, boot_now());
                       });
            });
        }
    }

    const store_session_options options_;
    const std::unique_ptr<Store> store_;
    const std::string member_key_;
    lease_id lease_{};
    time_point next_renewal_{};
    bool is_unreachable_ = false;
    bool must_check_lease_ = false;
    store_era era_;
    store_snapshot snapshot_;               // of the last read of the configuration
    evacuation_read last_evacuations_;      // of the same read
    std::optional<time_point> alone_since_; // the store has shown no fleet since then
    std::string fleet_key_;
    bool must_write_again_ = false;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::condition_variable saved_changed_;
    std::array<saved_value, saved_kinds> saved_;
    std::thread thread_;
};

} // namespace jasminebank
