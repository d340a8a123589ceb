#include "config_feed.h"

#include "config_follower.h"
#include "deflated_text.h"
#include "log.h"
#include "system_clock.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace jasminebank {

constexpr duration fetch_timeout = std::chrono::milliseconds(700);
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
        deflated_.clear();
    }
    options_.on_generation(fresh);
    const time_point now = boot_now();
    log_event(event::config_in_force,
              "generation={} routes={} organisations={} services={} bytes={} from={} "
              "known_ms={:.1f} apply_ms={:.1f}",
              fresh->generation, fresh->routes.size(), fresh->organisations.size(),
              fresh->services.size(), text.size(), origin.from,
              as_milliseconds(now - origin.known_since), as_milliseconds(now - started));
    return true;
}

void config_feed::fetch_from(const endpoint& peer, std::uint64_t generation)
{
    std::string request;
    const time_point started = boot_now();
    config_origin origin{.from = to_string(peer), .known_since = started};
    {
        const std::lock_guard lock(mutex_);
        if (told_generation_ <= generation_)
            told_since_ = started;
        told_generation_ = std::max(told_generation_, generation);
        origin.known_since = told_since_;
        if (std::exchange(fetching_, true))
            return;
        request = fmt::format("{}{}", generation_, accepts_deflated);
    }
    const auto done = [=, this](const result<std::string, link_error>& answer) {
        {
            const std::lock_guard lock(mutex_);
            fetching_ = false;
        }
        const std::string cause = failed(answer)             ? describe(error_of(answer))
                                  : value_of(answer).empty() ? "the peer has no newer one"
                                                             : "";
        options_.account->fetch_ended(peer, generation,
                                      {.took = boot_now() - started,
                                       .bytes = failed(answer) ? 0 : value_of(answer).size(),
                                       .cause = cause});
        if (cause.empty())
            apply_fetched(value_of(answer), origin);
    };
    if (!links_.call(peer, std::string(config_path), std::move(request), fetch_timeout, done)) {
        const std::lock_guard lock(mutex_);
        fetching_ = false;
    }
}

void config_feed::apply_fetched(const std::string& answer, const config_origin& origin)
{
    if (!answer.starts_with(deflated_mark)) {
        apply(answer, origin);
        return;
    }
    const auto text =
        inflate_text(std::string_view(answer).substr(deflated_mark.size()), max_config_bytes);
    if (text)
        apply(*text, origin);
    else
        log_event(event::config_rejected, "field=\"(compressed)\" bytes={}", answer.size());
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
