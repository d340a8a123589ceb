#include "member_service.h"

#include "log.h"
#include "system_clock.h"

#include <algorithm>
#include <utility>

namespace jasminebank {

constexpr duration tick_interval = std::chrono::milliseconds(25);
constexpr duration exchange_timeout = std::chrono::seconds(1);

member_service::member_service(member_service_options options, link_hub& links)
    : options_(std::move(options)), links_(links), membership_(options_.membership, boot_now())
{
}

bool member_service::start()
{
    const std::lock_guard lock(mutex_);
    socket_ = datagram_socket::open(
        links_.local(), [this](const endpoint& from, auto bytes) { receive(from, bytes); });
    if (socket_ == nullptr)
        return false;
    thread_ = std::thread([this] { run_ticks(); });
    return true;
}

member_service::~member_service()
{
    stop();
    socket_.reset();
}

// The destructor closes the socket: other threads may still send on it.
void member_service::stop()
{
    {
        const std::lock_guard lock(mutex_);
        if (stopping_)
            return;
        stopping_ = true;
    }
    wake_.notify_all();
    if (thread_.joinable())
        thread_.join();
}

// Updates the membership under the lock and performs the resulting actions after releasing it.
template <class Update>
void member_service::update_membership(Update update)
{
    membership_actions actions;
    {
        const std::lock_guard lock(mutex_);
        if (stopping_ || socket_ == nullptr)
            return;
        actions = update(membership_);
    }
    perform(actions);
}

void member_service::send(const send_heartbeat& it)
{
    const std::string bytes = encode_heartbeat(it.body, options_.fleet_key);
    if (bytes.size() > max_heartbeat_bytes || !socket_->send(it.to, bytes) ||
        options_.traffic == nullptr)
        return;
    options_.traffic->add(traffic_cause::member_datagram, options_.traffic->scope_of(it.to),
                          bytes.size());
}

void member_service::perform(const membership_actions& actions)
{
    bool changed = false;
    for (const membership_action& action : actions) {
        if (const auto* datagram = std::get_if<send_heartbeat>(&action)) {
            send(*datagram);
        }
        else if (const auto* exchange = std::get_if<exchange_members>(&action)) {
            member_exchange request;
            {
                const std::lock_guard lock(mutex_);
                request.known = known_stamps(membership_.directory());
            }
            exchange_with(exchange->link, request);
        }
        else if (const auto* fetch = std::get_if<newer_config>(&action)) {
            options_.on_newer_config(*fetch);
        }
        else if (std::holds_alternative<evacuations_changed>(action)) {
            publish_directory();
        }
        else {
            changed = true;
        }
    }
    if (changed)
        publish_directory();
}

void member_service::publish_directory()
{
    const std::lock_guard order(directory_mutex_);
    member_directory copy;
    evacuation_state evacuations;
    {
        const std::lock_guard lock(mutex_);
        copy = membership_.directory();
        evacuations = membership_.evacuations();
    }
    publish_evacuations(evacuations);
    options_.on_directory_change(copy);
}

// Requires directory_mutex_.
void member_service::publish_evacuations(const evacuation_state& it)
{
    const std::vector<std::string> before = std::exchange(published_evacuations_, it).domains;
    if (it.domains == before)
        return;
    const auto log_missing = [&](event number, const auto& from, const auto& in) {
        for (const std::string& name : from) {
            if (std::find(in.begin(), in.end(), name) == in.end())
                log_event(number, "failure_domain=\"{}\" era={} revision={}", name, it.stamp.era,
                          it.stamp.revision);
        }
    };
    log_missing(event::evacuation_began, it.domains, before);
    log_missing(event::evacuation_ended, before, it.domains);
    options_.on_evacuations(it.domains);
}

void member_service::exchange_with(const endpoint& peer, const member_exchange& request)
{
    const bool sent =
        links_.call(peer, std::string(members_path), encode_exchange(request), exchange_timeout,
                    [this, peer](const result<std::string, link_error>& answer) {
                        if (failed(answer))
                            return;
                        if (const auto it = decode_exchange(value_of(answer)))
                            merge_exchange_reply(peer, *it);
                    });
    static_cast<void>(sent); // if the queue is full, the next differing digest retries
}

void member_service::merge_exchange_reply(const endpoint& peer, const member_exchange& it)
{
    update_membership([&](membership& m) { return m.merge(it.records, boot_now()); });
    if (it.wanted.empty())
        return;
    member_exchange request;
    {
        const std::lock_guard lock(mutex_);
        request = make_exchange_reply(membership_.directory(),
                                      {.known = {}, .records = {}, .wanted = it.wanted});
    }
    if (!request.records.empty())
        exchange_with(peer, request);
}

std::string member_service::handle_exchange(std::string_view request)
{
    const auto exchange = decode_exchange(request);
    if (!exchange)
        return encode_exchange({});
    update_membership([&](membership& m) { return m.merge(exchange->records, boot_now()); });
    const std::lock_guard lock(mutex_);
    return encode_exchange(make_exchange_reply(membership_.directory(), *exchange));
}

void member_service::receive(const endpoint& from, std::string_view bytes)
{
    const auto it = decode_heartbeat(bytes, options_.fleet_key);
    if (it)
        update_membership([&](membership& m) { return m.receive(from, *it, boot_now()); });
}

void member_service::announce(own_state state)
{
    update_membership([&](membership& m) { return m.announce(std::move(state), boot_now()); });
}

withdrawal_list member_service::withdrawals_before(vm_id vm, incarnation run) const
{
    const std::lock_guard lock(mutex_);
    return membership_.directory().withdrawals_before(vm, run);
}

void member_service::announce_shards(std::vector<held_shard> shards)
{
    update_membership(
        [&](membership& m) { return m.announce_shards(std::move(shards), boot_now()); });
}

void member_service::set_generation(std::uint64_t generation, bool is_first_hand)
{
    update_membership(
        [&](membership& m) { return m.set_generation(generation, is_first_hand, boot_now()); });
}

// Control characters of a refused name must not reach the log.
static std::string printable(const std::string& name)
{
    std::string out = name.substr(0, max_evacuated_name_bytes);
    for (char& it : out) {
        if (!is_valid_domain_name({&it, 1}) && it != ' ')
            it = '?';
    }
    return out;
}

void member_service::record_evacuations(evacuation_read read)
{
    update_membership(
        [&](membership& m) { return m.record_evacuations(std::move(read), boot_now()); });
    const std::lock_guard order(directory_mutex_);
    std::vector<std::string> unusable;
    {
        const std::lock_guard lock(mutex_);
        unusable = membership_.unusable_domains();
    }
    for (const std::string& it : name_warnings_.take_new(unusable))
        log_event(event::evacuation_name_unusable, "failure_domain=\"{}\" bytes={} cause=\"{}\"",
                  printable(it), it.size(),
                  is_valid_domain_name(it) ? "no member of this failure domain is known, or the "
                                             "names exceed their bound"
                                           : "not a name of a failure domain");
}

evacuation_state member_service::evacuations() const
{
    const std::lock_guard lock(directory_mutex_);
    return published_evacuations_;
}

void member_service::record_store_contact(time_point at)
{
    const std::lock_guard lock(mutex_);
    membership_.record_store_contact(at);
}

bool member_service::may_serve() const
{
    const std::lock_guard lock(mutex_);
    return membership_.may_serve(boot_now());
}

std::optional<duration> member_service::store_age() const
{
    const std::lock_guard lock(mutex_);
    return membership_.store_age(boot_now());
}

reader_rank member_service::rank() const
{
    const std::lock_guard lock(mutex_);
    return membership_.rank();
}

std::vector<unanswered_ping> member_service::unanswered_pings() const
{
    const std::lock_guard lock(mutex_);
    return membership_.unanswered_pings();
}

member_status member_service::status() const
{
    const std::lock_guard lock(mutex_);
    const time_point now = boot_now();
    return {.recent = membership_.recent_reachability(now),
            .overall = membership_.overall_reachability(),
            .store_age = membership_.store_age(now),
            .may_serve = membership_.may_serve(now),
            .reaches_majority = membership_.reaches_majority(now),
            .datagram_bytes = socket_ == nullptr ? 0 : socket_->bytes_out()};
}

std::vector<member_record> member_service::members() const
{
    const std::lock_guard lock(mutex_);
    return membership_.directory().members();
}

void member_service::report_role_changes()
{
    bool watcher = false;
    bool serves = false;
    {
        const std::lock_guard lock(mutex_);
        watcher = membership_.is_watcher(options_.watchers_per_domain);
        serves = membership_.may_serve(boot_now());
    }
    if (watcher != is_watcher_) {
        is_watcher_ = watcher;
        options_.on_watcher_change(watcher);
    }
    if (serves != may_serve_) {
        may_serve_ = serves;
        log_event(serves ? event::cut_off_ended : event::cut_off_began, "{}",
                  serves ? "the store or half of the members can be reached again"
                         : "neither the store nor half of the members can be reached");
    }
}

void member_service::run_ticks()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        lock.unlock();
        update_membership([](membership& m) { return m.tick(boot_now()); });
        report_role_changes();
        lock.lock();
        wake_.wait_for(lock, tick_interval);
    }
}

} // namespace jasminebank
