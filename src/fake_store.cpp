#include "fake_store.h"

#include "log.h"
#include "system_clock.h"

#include <fmt/format.h>

namespace jasminebank {

using namespace std::chrono_literals;

static constexpr const char* json_type = "application/json";
static constexpr int http_bad_request = 400;
static constexpr int http_not_found = 404;
static constexpr int http_too_many_requests = 429;
static constexpr int grpc_invalid_argument = 3;
static constexpr int grpc_not_found = 5;
static constexpr int grpc_resource_exhausted = 8;

fake_store::fake_store(const fake_store_options& options)
    : options_(options), state_(options.state), address_(options.listen)
{
}

fake_store::~fake_store()
{
    stop();
}

bool fake_store::start()
{
    if (expiry_thread_.joinable())
        return true;
    server_ = std::make_unique<tracked_server>();
    add_routes();
    add_lease_routes();
    add_control_routes();
    {
        const std::lock_guard lock(mutex_);
        stopping_ = false;
    }
    const std::uint16_t port = server_->start(address());
    if (port == 0)
        return false;
    const std::lock_guard lock(mutex_);
    address_.port = port;
    expiry_thread_ = std::thread([this] { run_lease_expiry(); });
    return true;
}

void fake_store::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        wake_all();
    }
    if (server_)
        server_->stop();
    if (expiry_thread_.joinable())
        expiry_thread_.join();
}

endpoint fake_store::address() const
{
    const std::lock_guard lock(mutex_);
    return address_;
}

void fake_store::set_faults(const store_faults& faults)
{
    const std::lock_guard lock(mutex_);
    faults_ = faults;
    wake_all();
}

void fake_store::copy()
{
    const std::lock_guard lock(mutex_);
    copy_ = state_;
}

void fake_store::restore()
{
    const std::lock_guard lock(mutex_);
    state_ = copy_;
    ++cluster_;
    for (watcher& it : watchers_)
        it.ended = true;
    wake_all();
}

void fake_store::expire_leases()
{
    const std::lock_guard lock(mutex_);
    const store_revision before = state_.revision();
    state_.expire_all_leases();
    wake_changed_watchers(before);
}

store_calls fake_store::calls() const
{
    const std::lock_guard lock(mutex_);
    store_calls out = calls_;
    out.watching = watchers_.size();
    return out;
}

static void refuse(httplib::Response& response, int status, int code, const std::string& why)
{
    response.status = status;
    response.set_content(encode_refusal({.code = code, .message = why}), json_type);
}

static void refuse(httplib::Response& response, const store_error& error)
{
    if (error.kind == store_error_kind::lease_lost)
        refuse(response, http_not_found, grpc_not_found, error.detail);
    else
        refuse(response, http_bad_request, grpc_invalid_argument, error.detail);
}

// Applies the faults that act before a call is executed. A call that was hanging is dropped without
// effect once the fault ends, as after a restart of the store.
bool fake_store::admit(std::unique_lock<std::mutex>& lock, const call& kind,
                       httplib::Response& response)
{
    constexpr duration max_hang = 1min;
    ++(calls_.*kind.counter);
    if (faults_.slow > duration::zero())
        changed_.wait_for(lock, faults_.slow, [&] { return stopping_; });
    const bool hung = faults_.down == outage::hang;
    if (hung)
        changed_.wait_for(lock, max_hang,
                          [&] { return stopping_ || faults_.down != outage::hang; });
    if (stopping_ || hung || faults_.down == outage::refuse) {
        tracked_server::drop_answer();
        return false;
    }
    if ((this->*kind.limiter).admit(faults_.*kind.rate, boot_now()))
        return true;
    ++calls_.limited;
    refuse(response, http_too_many_requests, grpc_resource_exhausted, "too many requests");
    return false;
}

bool fake_store::consume_lost_answer(const call& kind)
{
    if (kind.counter != &store_calls::txn || faults_.lose_answers == 0)
        return false;
    --faults_.lose_answers;
    ++calls_.lost;
    return true;
}

// Handler of every call except watches: decodes the request, runs it under the lock and encodes the
// answer.
template <class Decode, class Run, class Encode>
httplib::Server::Handler fake_store::handler(call kind, Decode decode, Run run, Encode encode)
{
    return [=, this](const httplib::Request& request, httplib::Response& response) {
        const auto decoded = decode(request.body);
        std::unique_lock lock(mutex_);
        if (!admit(lock, kind, response))
            return;
        if (!decoded) {
            refuse(response, http_bad_request, grpc_invalid_argument, "malformed request");
            return;
        }
        const store_revision before = state_.revision();
        state_.step(boot_now());
        const auto answer = run(*decoded);
        const store_revision after = state_.revision();
        wake_changed_watchers(before);
        if (consume_lost_answer(kind)) {
            tracked_server::drop_answer();
            return;
        }
        lock.unlock();
        if (failed(answer))
            refuse(response, error_of(answer));
        else
            response.set_content(encode(value_of(answer), *decoded, after), json_type);
    };
}

void fake_store::add_routes()
{
    const call range{&store_calls::range, &fake_store::read_limiter_,
                     &store_faults::reads_per_second};
    server_->Post(store_path::range,
                  handler(
                      range, decode_range_request,
                      [this](const store_key_range& keys) -> result<store_range, store_error> {
                          return state_.range_before(keys, faults_.stale_revisions);
                      },
                      [](const store_range& it, const store_key_range&, store_revision) {
                          return encode_range(it);
                      }));
    const call txn{&store_calls::txn, &fake_store::write_limiter_,
                   &store_faults::writes_per_second};
    server_->Post(store_path::txn, handler(
                                       txn, decode_txn_request,
                                       [this](const store_txn& it) { return state_.commit(it); },
                                       [](const store_commit& it, const store_txn& decoded,
                                          store_revision) { return encode_commit(it, decoded); }));
    server_->Post(store_path::watch,
                  [this](const httplib::Request& request, httplib::Response& response) {
                      open_watch(request, response);
                  });
}

void fake_store::add_lease_routes()
{
    call kind{&store_calls::lease_grant, &fake_store::write_limiter_,
              &store_faults::writes_per_second};
    server_->Post(store_path::lease_grant,
                  handler(
                      kind, decode_grant_request,
                      [this](duration ttl) -> result<store_lease, store_error> {
                          return state_.grant_lease(ttl, boot_now());
                      },
                      [](const store_lease& it, duration, store_revision revision) {
                          return encode_lease(it, revision);
                      }));
    kind.counter = &store_calls::lease_keepalive;
    // As in the published API, a lease that has ended is answered with a TTL of 0.
    server_->Post(store_path::lease_keepalive,
                  handler(
                      kind, decode_lease_request,
                      [this](lease_id lease) -> result<store_lease, store_error> {
                          const auto kept = state_.keep_lease_alive(lease, boot_now());
                          return failed(kept) ? store_lease{.lease = lease} : value_of(kept);
                      },
                      [](const store_lease& it, lease_id, store_revision revision) {
                          return encode_keepalive_response(it, revision);
                      }));
    kind.counter = &store_calls::lease_revoke;
    server_->Post(store_path::lease_revoke,
                  handler(
                      kind, decode_lease_request,
                      [this](lease_id lease) { return state_.revoke_lease(lease); },
                      [](ok, lease_id, store_revision revision) {
                          return encode_revoke_response(revision);
                      }));
}

static std::string calls_to_json(const store_calls& it)
{
    return fmt::format(R"({{"range":{},"txn":{},"lease_grant":{},"lease_keepalive":{},)"
                       R"("lease_revoke":{},"watch":{},"watching":{},"limited":{},"lost":{}}})"
                       "\n",
                       it.range, it.txn, it.lease_grant, it.lease_keepalive, it.lease_revoke,
                       it.watch, it.watching, it.limited, it.lost);
}

void fake_store::add_control_routes()
{
    server_->Post("/fault", [this](const httplib::Request& request, httplib::Response& response) {
        change_faults(request, response);
    });
    server_->Get("/calls", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(calls_to_json(calls()), json_type);
    });
}

void fake_store::change_faults(const httplib::Request& request, httplib::Response& response)
{
    bool lapse = false;
    {
        const std::lock_guard lock(mutex_);
        const auto change = read_fault_change(request.body, faults_);
        if (!change) {
            refuse(response, http_bad_request, grpc_invalid_argument, "malformed fault");
            return;
        }
        faults_ = change->faults;
        lapse = change->lapse_leases;
        wake_all();
    }
    if (lapse)
        expire_leases();
    log_event(event::fake_store_fault_set, "{}", request.body);
    response.set_content("{}\n", json_type);
}

void fake_store::open_watch(const httplib::Request& request, httplib::Response& response)
{
    const call kind{&store_calls::watch, &fake_store::read_limiter_,
                    &store_faults::reads_per_second};
    const auto decoded = decode_watch_request(request.body);
    std::unique_lock lock(mutex_);
    if (!admit(lock, kind, response))
        return;
    if (!decoded) {
        refuse(response, http_bad_request, grpc_invalid_argument, "malformed request");
        return;
    }
    watcher& it = watchers_.emplace_back();
    it.request = *decoded;
    it.next = decoded->from > 0 ? decoded->from : state_.revision() + 1;
    const auto position = std::prev(watchers_.end());
    response.set_chunked_content_provider(
        json_type,
        [this, position](std::size_t, httplib::DataSink& sink) {
            return stream_watch(*position, sink);
        },
        [this, position](bool) {
            const std::lock_guard guard(mutex_);
            watchers_.erase(position);
        });
}

// The HTTP server calls this repeatedly. It returns at least once a second, so that the server can
// detect a client that has disconnected.
bool fake_store::stream_watch(watcher& it, httplib::DataSink& sink)
{
    constexpr duration disconnect_check_interval = 1s;
    std::unique_lock lock(mutex_);
    const auto ready = [&] {
        return stopping_ || it.ended || faults_.down == outage::refuse ||
               (faults_.down == outage::none && (it.pending || !it.created_sent));
    };
    it.changed.wait_for(lock, disconnect_check_interval, ready);
    if (stopping_ || it.ended || faults_.down == outage::refuse)
        return false;
    if (faults_.down == outage::hang)
        return true;
    const auto line = next_line(it, boot_now());
    lock.unlock();
    return !line || sink.write(line->data(), line->size());
}

std::optional<std::string> fake_store::next_line(watcher& it, time_point now)
{
    std::optional<std::string> line;
    const store_event_batch none{.revision = state_.revision(), .events = {}};
    if (!it.created_sent)
        line = encode_watch_message({.batch = none, .cluster = cluster_, .created = true});
    else if (it.pending)
        line = next_changes(it);
    else if (it.request.progress_notify && now - it.last_sent >= options_.progress_interval)
        line = encode_watch_message({.batch = none});
    it.created_sent = true;
    if (line)
        it.last_sent = now;
    return line;
}

std::optional<std::string> fake_store::next_changes(watcher& it)
{
    constexpr std::size_t line_bytes = std::size_t{1} << 20;
    store_history history = state_.history(it.request.keys, it.next, line_bytes);
    if (history.compact_revision > 0) {
        it.ended = true;
        return encode_watch_message({.batch = {.revision = history.batch.revision, .events = {}},
                                     .cancelled = true,
                                     .compact_revision = history.compact_revision});
    }
    it.next = std::max(it.next, history.batch.revision + 1);
    it.pending = it.next <= state_.revision();
    if (history.batch.events.empty())
        return std::nullopt;
    return encode_watch_message({.batch = std::move(history.batch)});
}

void fake_store::wake_changed_watchers(store_revision before)
{
    if (state_.revision() == before)
        return;
    for (watcher& it : watchers_) {
        if (!state_.changed_since(it.request.keys, before + 1))
            continue;
        it.pending = true;
        it.changed.notify_all();
    }
}

void fake_store::wake_all()
{
    changed_.notify_all();
    for (watcher& it : watchers_)
        it.changed.notify_all();
}

// Expires leases even when no calls arrive.
void fake_store::run_lease_expiry()
{
    constexpr duration tick = 20ms;
    std::unique_lock lock(mutex_);
    while (!changed_.wait_for(lock, tick, [&] { return stopping_; })) {
        const store_revision before = state_.revision();
        state_.step(boot_now());
        wake_changed_watchers(before);
    }
}

} // namespace jasminebank
