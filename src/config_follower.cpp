#include "config_follower.h"

#include "config_store.h"
#include "log.h"
#include "system_clock.h"

#include <malloc.h>

namespace jasminebank {

constexpr duration retry_interval = std::chrono::milliseconds(500);
constexpr duration idle_interval = std::chrono::seconds(5);
constexpr duration fetch_timeout = std::chrono::seconds(2);
// Limit on the total size of the documents in one response.
constexpr std::size_t max_response_bytes = 1024UL * 1024;
constexpr std::size_t max_pending_responses = 4;

config_follower::config_follower(config_follower_options options, link_hub& links)
    : options_(std::move(options)), links_(links), store_({.endpoints = options_.store})
{
    thread_ = std::thread([this] { run(); });
}

config_follower::~config_follower()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void config_follower::watch_store(bool watching)
{
    const std::lock_guard lock(mutex_);
    if (options_.store.empty() || watching_ == watching)
        return;
    watching_ = watching;
    head_changed_ = watching;
    changed_.notify_all();
}

void config_follower::report_head_event(bool head_changed)
{
    const std::lock_guard lock(mutex_);
    head_changed_ |= head_changed;
    changed_.notify_all();
}

std::string config_follower::answer(std::string_view request) const
{
    const auto it = decode_config_request(request);
    const std::lock_guard lock(keeper_mutex_);
    return encode_config_response(
        keeper_.make_response(it.value_or(config_request{}), max_response_bytes));
}

void config_follower::fetch_from(const endpoint& peer, std::uint64_t generation)
{
    {
        const std::lock_guard lock(mutex_);
        if (fetching_)
            return;
        fetching_ = true;
    }
    send_request(peer, generation);
}

// The response arrives on a thread of link_hub, which only queues it for the follower's thread.
void config_follower::send_request(const endpoint& peer, std::uint64_t generation)
{
    const time_point started = boot_now();
    std::string payload;
    {
        const std::lock_guard lock(keeper_mutex_);
        payload = encode_config_request(keeper_.make_request());
    }
    const auto done = [=, this](const result<std::string, link_error>& answer) {
        const auto response =
            failed(answer) ? std::nullopt : decode_config_response(value_of(answer));
        const std::string cause = failed(answer) ? describe(error_of(answer))
                                  : response     ? ""
                                                 : "malformed answer";
        options_.account->fetch_ended(peer, generation,
                                      {.took = boot_now() - started,
                                       .bytes = failed(answer) ? 0 : value_of(answer).size(),
                                       .cause = cause});
        const std::lock_guard lock(mutex_);
        fetching_ = false;
        if (response && responses_.size() < max_pending_responses)
            responses_.push_back({.peer = peer, .response = *response});
        changed_.notify_all();
    };
    if (!links_.call(peer, std::string(config_path), std::move(payload), fetch_timeout, done)) {
        const std::lock_guard lock(mutex_);
        fetching_ = false;
    }
}

void config_follower::run()
{
    std::unique_lock lock(mutex_);
    time_point next_read{};
    while (!stopping_) {
        const bool watching = watching_;
        const bool due = watching && (head_changed_ || boot_now() >= next_read);
        head_changed_ = false;
        auto responses = std::exchange(responses_, {});
        lock.unlock();
        for (const received_response& it : responses)
            apply_response(it);
        if (watching && watch_ == nullptr) {
            watch_ = std::make_unique<store_watch>(
                store_watch_options{.endpoints = options_.store,
                                    .keys = {.key = std::string(config_head_key), .range_end = {}}},
                store_watch_handlers{.on_events = [this](const auto&) { report_head_event(true); },
                                     .on_status = [](const auto&) {}});
        }
        if (!watching)
            watch_.reset();
        if (due)
            next_read = boot_now() + (read_store() ? options_.reread_interval : retry_interval);
        lock.lock();
        const duration wait = watching ? next_read - boot_now() : idle_interval;
        changed_.wait_for(lock, wait, [&] {
            return stopping_ || head_changed_ || !responses_.empty() || watching_ != watching;
        });
    }
    lock.unlock();
    watch_.reset();
}

void config_follower::apply_response(const received_response& it)
{
    bool again = false;
    {
        const std::lock_guard lock(keeper_mutex_);
        keeper_.accept_head(it.response.head);
        for (const std::string& text : it.response.documents)
            keeper_.add_document(text);
        again = !it.response.documents.empty() && !keeper_.missing_documents().empty();
    }
    activate_collected();
    if (again)
        fetch_from(it.peer, it.response.head.generation);
}

// Building a generation with many organisations temporarily uses several times the memory that the
// result keeps, so the free memory is then returned to the system.
void config_follower::activate_collected()
{
    std::shared_ptr<const config_generation> fresh;
    {
        const std::lock_guard lock(keeper_mutex_);
        auto out = keeper_.activate();
        if (failed(out)) {
            log_event(event::config_rejected, "{}", describe(error_of(out)));
            return;
        }
        fresh = value_of(out);
    }
    if (fresh == nullptr)
        return;
    log_event(event::config_in_force, "generation {}", fresh->head.generation);
    options_.on_generation(fresh);
    fresh.reset();
    malloc_trim(0);
}

// Reads the head and the documents of it that are missing; true if all reads succeeded. Calls
// on_store_current only if the head read is of the generation in force: an older head comes from a
// stale read and does not show that the configuration is current.
bool config_follower::read_store()
{
    const time_point read_started = boot_now();
    const auto read = read_head(store_);
    if (failed(read)) {
        log_event(event::config_unreadable, "{}", error_of(read).detail);
        return false;
    }
    std::vector<std::string> missing;
    {
        const std::lock_guard lock(keeper_mutex_);
        keeper_.accept_head(value_of(read).head);
        missing = keeper_.missing_documents();
    }
    for (const std::string& name : missing) {
        auto text = read_document(store_, name);
        if (failed(text)) {
            log_event(event::config_unreadable, "{}", error_of(text).detail);
            return false;
        }
        const std::lock_guard lock(keeper_mutex_);
        keeper_.add_document(value_of(text));
    }
    activate_collected();
    const std::lock_guard lock(keeper_mutex_);
    const std::uint64_t in_force = keeper_.current() ? keeper_.current()->head.generation : 0;
    if (in_force == value_of(read).head.generation)
        options_.on_store_current(read_started);
    return true;
}

} // namespace jasminebank
