#include "config_feed.h"

#include "config_follower.h"
#include "deflated_text.h"
#include "log.h"
#include "system_clock.h"

#include <fmt/format.h>

#include <charconv>

namespace jasminebank {

// Follows the generation in the request of a node that accepts a compressed configuration. Nodes
// that do not know it ignore it and answer with the text itself.
constexpr std::string_view accepts_deflated = " deflate";
// Precedes a compressed configuration; a configuration itself never begins like this.
constexpr std::string_view deflated_mark = "deflate:";
// Well above the largest value that the store takes.
constexpr std::size_t max_config_bytes = 64UL * 1024 * 1024;

config_feed::config_feed(config_feed_options options, link_hub& links)
    : options_(std::move(options)), links_(links)
{
}

bool config_feed::apply(const std::string& text, const config_origin& origin)
{
    return apply_text(text, origin, {});
}

// `deflated` is the answer that `text` came in, if it was compressed; it is passed on as it is.
bool config_feed::apply_text(const std::string& text, const config_origin& origin,
                             const std::string& deflated)
{
    const time_point started = boot_now();
    const std::lock_guard order(apply_mutex_);
    {
        const std::lock_guard lock(mutex_);
        if (text == text_)
            return true;
    }
    if (text == ignored_text_)
        return false;
    auto config = options_.decode(text);
    if (failed(config)) {
        ignored_text_ = text;
        log_event(event::config_rejected, "field=\"{}\" allowed=\"{}\"", error_of(config).field,
                  error_of(config).allowed);
        return false;
    }
    const auto fresh = std::make_shared<const fleet_config>(std::move(value_of(config)));
    {
        const std::lock_guard lock(mutex_);
        if (fresh->generation == generation_)
            return true;
        if (fresh->generation < generation_) {
            log_event(event::config_outdated, "generation={} in_force={}", fresh->generation,
                      generation_);
            ignored_text_ = text;
            return false;
        }
        generation_ = fresh->generation;
        text_ = text;
        deflated_ = deflated;
        plan_.set_in_force(generation_, boot_now());
    }
    options_.on_generation(fresh, origin);
    const time_point now = boot_now();
    log_event(event::config_in_force,
              "generation={} routes={} organisations={} services={} bytes={} from={} "
              "known_ms={:.1f} apply_ms={:.1f}",
              fresh->generation, fresh->routes.size(), fresh->organisations.size(),
              fresh->services.size(), text.size(), origin.from,
              as_milliseconds(now - origin.known_since), as_milliseconds(now - started));
    return true;
}

void config_feed::hear(const config_news& it)
{
    {
        const std::lock_guard lock(mutex_);
        plan_.hear(it, boot_now());
    }
    tick();
}

void config_feed::tick()
{
    while (true) {
        std::optional<config_fetch> due;
        {
            const std::lock_guard lock(mutex_);
            due = plan_.next(boot_now());
        }
        if (!due)
            return;
        start_fetch(*due);
    }
}

std::optional<duration> config_feed::behind_for() const
{
    const std::lock_guard lock(mutex_);
    return plan_.behind_for(boot_now());
}

void config_feed::start_fetch(const config_fetch& it)
{
    std::string request;
    {
        const std::lock_guard lock(mutex_);
        request = fmt::format("{}{}", generation_, accepts_deflated);
    }
    const time_point started = boot_now();
    const auto done = [=, this](const result<std::string, link_error>& answer) {
        end_fetch(it, started, answer);
    };
    if (!links_.call(it.peer, std::string(config_path), std::move(request), it.timeout, done))
        end_fetch(it, started, link_error{.kind = link_failure::not_sent});
}

void config_feed::end_fetch(const config_fetch& it, time_point started,
                            const result<std::string, link_error>& answer)
{
    std::string cause;
    if (failed(answer))
        cause = describe(error_of(answer));
    else if (value_of(answer).empty() && !is_in_force(it.generation))
        cause = "the peer has no newer one";
    options_.account->fetch_ended(it.peer, it.generation,
                                  {.took = boot_now() - started,
                                   .bytes = failed(answer) ? 0 : value_of(answer).size(),
                                   .cause = cause});
    const bool succeeded =
        cause.empty() && (value_of(answer).empty() ||
                          apply_fetched(value_of(answer), {.from = to_string(it.peer),
                                                           .is_store = false,
                                                           .known_since = it.known_since}));
    {
        const std::lock_guard lock(mutex_);
        plan_.ended(it.peer, succeeded, boot_now());
    }
    tick();
}

bool config_feed::is_in_force(std::uint64_t generation) const
{
    const std::lock_guard lock(mutex_);
    return generation_ >= generation;
}

bool config_feed::apply_fetched(const std::string& answer, const config_origin& origin)
{
    if (!answer.starts_with(deflated_mark))
        return apply(answer, origin);
    const auto text =
        inflate_text(std::string_view(answer).substr(deflated_mark.size()), max_config_bytes);
    if (text)
        return apply_text(*text, origin, answer);
    log_event(event::config_rejected, "field=\"(compressed)\" bytes={}", answer.size());
    return false;
}

// The compressed text is kept, since many nodes fetch a new configuration at about the same time.
std::string config_feed::answer(std::string_view request) const
{
    std::uint64_t known = 0;
    const auto [end, ec] = std::from_chars(request.data(), request.data() + request.size(), known);
    const std::lock_guard lock(mutex_);
    if (ec != std::errc{} || known >= generation_)
        return {};
    if (!std::string_view(end, request.data() + request.size()).starts_with(accepts_deflated))
        return text_;
    if (deflated_.empty())
        deflated_ = std::string(deflated_mark) + deflate_text(text_);
    return deflated_;
}

} // namespace jasminebank
