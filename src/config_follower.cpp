#include "config_follower.h"

#include "log.h"
#include "system_clock.h"

namespace jasminebank {

constexpr duration retry_interval = std::chrono::milliseconds(500);

config_follower::config_follower(config_follower_options options)
    : options_(std::move(options)), store_({.endpoints = options_.store})
{
    store_watch_options watch{.endpoints = options_.store,
                              .keys = {.key = std::string(config_head_key), .range_end = {}}};
    watch_ = std::make_unique<store_watch>(
        watch, store_watch_handlers{
                   .on_events = [this](const store_event_batch&) { wake(true); },
                   .on_status =
                       [this](const store_watch_status& it) {
                           wake(it.kind != watch_status_kind::disconnected);
                       },
               });
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
    watch_->stop();
}

time_point config_follower::store_heard() const
{
    const std::lock_guard lock(mutex_);
    return store_heard_;
}

void config_follower::wake(bool heard)
{
    const std::lock_guard lock(mutex_);
    if (heard) {
        store_heard_ = boot_now();
        head_changed_ = true;
    }
    changed_.notify_all();
}

void config_follower::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        head_changed_ = false;
        lock.unlock();
        const bool done = follow();
        lock.lock();
        const duration wait = done ? options_.reread_interval : retry_interval;
        changed_.wait_for(lock, wait, [this] { return stopping_ || (head_changed_); });
    }
}

// Unchanged documents are taken from the generation in force; only the others are read.
bool config_follower::fetch_documents(const config_head& head, config_texts& texts)
{
    std::unordered_map<std::string, const std::string*> known;
    if (current_ != nullptr) {
        for (std::size_t n = 0; n < document_count; ++n)
            known.emplace(current_->head.documents[n], &current_->texts[n]);
    }
    const std::string empty_name = document_name("");
    texts.resize(document_count);
    for (std::size_t n = 0; n < document_count; ++n) {
        const std::string& name = head.documents[n];
        const auto it = known.find(name);
        if (it != known.end()) {
            texts[n] = *it->second;
            continue;
        }
        if (name == empty_name)
            continue;
        auto text = read_document(store_, name);
        if (failed(text)) {
            log_event(event::config_unreadable, "generation {}: {}", head.generation,
                      error_of(text).detail);
            return false;
        }
        texts[n] = std::move(value_of(text));
    }
    return true;
}

// False when it must be tried again soon.
bool config_follower::follow()
{
    const auto read = read_head(store_);
    if (failed(read)) {
        log_event(event::config_unreadable, "{}", error_of(read).detail);
        return false;
    }
    {
        const std::lock_guard lock(mutex_);
        store_heard_ = boot_now();
    }
    const config_head& head = value_of(read).head;
    if (head.generation == 0 || (current_ && head.generation <= current_->head.generation))
        return true;
    auto next = std::make_shared<config_generation>();
    next->head = head;
    if (!fetch_documents(head, next->texts))
        return false;
    auto config = build_generation(head, next->texts);
    if (failed(config)) {
        log_event(event::config_rejected, "generation {}: {}", head.generation,
                  describe(error_of(config)));
        return true;
    }
    next->config = std::move(value_of(config));
    current_ = next;
    log_event(event::config_in_force, "generation {}", head.generation);
    options_.on_generation(next);
    return true;
}

} // namespace jasminebank
