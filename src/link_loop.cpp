#include "link_loop.h"

#include "log.h"
#include "system_clock.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>
#include <utility>

namespace jasminebank {

/// Interval between checks of deadlines while any session is busy, and while none is.
constexpr duration busy_tick = std::chrono::milliseconds(50);
constexpr duration idle_tick = std::chrono::seconds(1);
constexpr int events_per_turn = 256;

link_loop::link_loop(link_options options, std::shared_ptr<link_queue> queue,
                     std::shared_ptr<link_counters> counters, int listen_fd)
    : epoll_fd_(epoll_create1(EPOLL_CLOEXEC)), listen_fd_(listen_fd)
{
    assert(epoll_fd_ >= 0);
    context_.options = std::move(options);
    context_.queue = std::move(queue);
    context_.counters = std::move(counters);
    const int wake_fd = context_.queue->wake_fd();
    epoll_event it{.events = EPOLLIN, .data = {.fd = wake_fd}};
    epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, wake_fd, &it);
    watch_listener(true);
}

link_loop::~link_loop()
{
    stop_listening();
    for (int fd : held_sockets_)
        close(fd);
    close(epoll_fd_);
}

void link_loop::run()
{
    next_tick_ = boot_now();
    while (!is_stopping_)
        run_turn();
    finish_all();
}

// One iteration: socket events, commands, handlers, timers, then one flush of each session in
// `to_flush`. Commands that handlers post are run in the next iteration, which they wake.
void link_loop::run_turn()
{
    const duration left = std::max(next_tick_ - boot_now(), duration::zero());
    const auto millis = std::chrono::ceil<std::chrono::milliseconds>(left).count();
    std::array<epoll_event, events_per_turn> events{};
    const int n = epoll_wait(epoll_fd_, events.data(), events_per_turn, static_cast<int>(millis));
    const time_point now = boot_now();
    for (int k = 0; k < n; ++k)
        on_event(events[static_cast<std::size_t>(k)].data.fd,
                 events[static_cast<std::size_t>(k)].events, now);
    run_commands();
    run_deferred();
    if (now >= next_tick_)
        run_timers(now);
    flush_sessions(now);
}

void link_loop::on_event(int fd, std::uint32_t events, time_point now)
{
    if (fd == context_.queue->wake_fd())
        return;
    if (fd == listen_fd_) {
        accept_all(now);
        return;
    }
    const auto it = sessions_.find(fd);
    if (it == sessions_.end())
        return;
    const std::shared_ptr<link_session> session = it->second;
    session->on_events(events, now);
    context_.to_flush.push_back(session);
}

void link_loop::run_commands()
{
    const link_queue::batch batch = context_.queue->take();
    for (const link_queue::command& it : batch.commands)
        it();
    for (const std::shared_ptr<stream_state>& it : batch.streams) {
        if (const auto session = it->session.lock())
            session->apply_work(*it);
        else
            it->take_work();
    }
}

// Runs handlers and callbacks, outside of all session functions. They may answer immediately; calls
// that they defer run in the same iteration.
void link_loop::run_deferred()
{
    while (!context_.deferred.empty()) {
        for (const auto& it : std::exchange(context_.deferred, {}))
            it();
    }
}

void link_loop::run_timers(time_point now)
{
    watch_listener(true);
    bool needs_ticks = context_.is_draining;
    for (const auto& [fd, session] : sessions_) {
        session->on_tick(now);
        needs_ticks = needs_ticks || session->needs_ticks();
        context_.to_flush.push_back(session);
    }
    if (context_.is_draining && !is_drain_final_ && now >= drain_final_at_) {
        is_drain_final_ = true;
        for (const auto& [fd, session] : sessions_)
            session->announce_drain(true);
    }
    next_tick_ = now + (needs_ticks ? busy_tick : idle_tick);
}

std::size_t link_loop::unauthenticated_links() const
{
    return static_cast<std::size_t>(
        std::count_if(sessions_.begin(), sessions_.end(), [](const auto& it) {
            return !it.second->is_caller() && it.second->phase() == link_phase::authenticating;
        }));
}

void link_loop::accept_all(time_point now)
{
    for (;;) {
        sockaddr_in from{};
        socklen_t n = sizeof from;
        const int fd = accept4(listen_fd_, reinterpret_cast<sockaddr*>(&from), &n,
                               SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)
                watch_listener(false);
            return;
        }
        const link_options& options = context_.options;
        if (sessions_.size() >= options.max_links ||
            unauthenticated_links() >= options.max_unauthenticated_links) {
            ++context_.counters->refused_links;
            close(fd);
            continue;
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::array<char, INET_ADDRSTRLEN> host{};
        inet_ntop(AF_INET, &from.sin_addr, host.data(), host.size());
        const endpoint peer{.host = host.data(), .port = ntohs(from.sin_port)};
        add(link_session::accept(context_, fd, to_string(peer), now));
    }
}

// The listener is not watched while no file descriptor is available: a pending connection would
// wake the loop continuously. The next timer watches it again.
void link_loop::watch_listener(bool is_watched)
{
    if (listen_fd_ < 0 || is_watched == is_listener_watched_)
        return;
    epoll_event it{.events = EPOLLIN, .data = {.fd = listen_fd_}};
    epoll_ctl(epoll_fd_, is_watched ? EPOLL_CTL_ADD : EPOLL_CTL_DEL, listen_fd_, &it);
    is_listener_watched_ = is_watched;
}

// Keeps one outgoing link per endpoint. A link that accepts no new streams is replaced here, and
// finishes its open streams.
std::shared_ptr<link_session> link_loop::session_to(const endpoint& peer, time_point now)
{
    std::weak_ptr<link_session>& place = outgoing_[to_string(peer)];
    if (auto it = place.lock(); it && it->takes_streams())
        return it;
    if (sessions_.size() >= context_.options.max_links)
        return nullptr;
    auto it = link_session::connect(context_, peer, now);
    place = it;
    if (it)
        add(it);
    else
        outgoing_.erase(to_string(peer));
    return it;
}

void link_loop::open(const endpoint& peer, outgoing_stream it)
{
    const time_point now = boot_now();
    const auto session = session_to(peer, now);
    if (session)
        session->open(std::move(it), now);
    else
        fail_outgoing(
            context_, it,
            {.kind = link_failure::not_sent, .reason = "no link to the peer could be opened"});
}

void link_loop::add(const std::shared_ptr<link_session>& it)
{
    sessions_[it->fd()] = it;
    context_.to_flush.push_back(it);
}

// Flushes the scheduled sessions and removes those that are closed. Closing a session may run
// callbacks, and those may schedule other sessions; hence the loop.
void link_loop::flush_sessions(time_point now)
{
    while (!context_.to_flush.empty()) {
        std::vector<std::shared_ptr<link_session>> batch = std::exchange(context_.to_flush, {});
        std::sort(batch.begin(), batch.end());
        batch.erase(std::unique(batch.begin(), batch.end()), batch.end());
        for (const std::shared_ptr<link_session>& it : batch) {
            it->flush(now);
            if (it->phase() == link_phase::closed)
                remove(it);
            else
                watch(*it);
            if (it->needs_ticks())
                next_tick_ = std::min(next_tick_, now + busy_tick);
        }
        run_deferred();
    }
}

void link_loop::watch(link_session& it)
{
    const std::uint32_t wanted = it.wanted_events();
    if (wanted == it.watched_events)
        return;
    epoll_event event{.events = wanted, .data = {.fd = it.fd()}};
    int action = EPOLL_CTL_MOD;
    if (it.watched_events == 0)
        action = EPOLL_CTL_ADD;
    else if (wanted == 0)
        action = EPOLL_CTL_DEL;
    epoll_ctl(epoll_fd_, action, it.fd(), &event);
    it.watched_events = wanted;
}

// Under a simulated network fault, the socket stays open until no fault is set any more: the peer
// of a cut link must not see it closed.
void link_loop::remove(const std::shared_ptr<link_session>& it)
{
    const int fd = it->fd();
    const auto place = sessions_.find(fd);
    if (place == sessions_.end() || place->second != it)
        return;
    if (it->watched_events != 0)
        epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
    it->watched_events = 0;
    if (it->is_cut())
        held_sockets_.push_back(it->release_socket());
    sessions_.erase(place);
    std::erase_if(outgoing_, [](const auto& entry) { return entry.second.expired(); });
}

void link_loop::stop_listening()
{
    if (listen_fd_ >= 0)
        close(listen_fd_);
    listen_fd_ = -1;
}

void link_loop::drain()
{
    if (context_.is_draining)
        return;
    context_.is_draining = true;
    log_event(event::link_draining, "{} links", sessions_.size());
    stop_listening();
    const time_point now = boot_now();
    drain_final_at_ = now + context_.options.drain_notice;
    for (const auto& [fd, session] : sessions_) {
        session->announce_drain(false);
    }
    next_tick_ = now;
}

void link_loop::set_cut(const std::string& peer, cut_direction direction)
{
    if (direction == cut_direction::none)
        context_.cuts.erase(peer);
    else
        context_.cuts[peer] = direction;
    for (const auto& [fd, session] : sessions_) {
        session->refresh_cut();
        context_.to_flush.push_back(session);
    }
    if (context_.cuts.empty()) {
        for (int fd : std::exchange(held_sockets_, {}))
            close(fd);
    }
}

// A draining node is idle only when its peers have closed their links to it, which shows that they
// have read all responses.
bool link_loop::is_idle() const
{
    return std::none_of(sessions_.begin(), sessions_.end(), [&](const auto& it) {
        const link_session& session = *it.second;
        const bool is_open = context_.is_draining && !session.is_caller();
        return is_open || session.is_busy();
    });
}

// Before the thread ends, fails every open stream and call, including those of queued commands.
void link_loop::finish_all()
{
    run_commands();
    const auto sessions = sessions_;
    for (const auto& [fd, session] : sessions) {
        session->fail("the hub is stopping");
    }
    run_deferred();
    flush_sessions(boot_now());
}

} // namespace jasminebank
