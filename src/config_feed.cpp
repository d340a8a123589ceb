#include "config_feed.h"

#include "config_follower.h"
#include "log.h"

#include <fmt/format.h>

#include <charconv>

namespace jasminebank {

constexpr duration fetch_timeout = std::chrono::milliseconds(700);

config_feed::config_feed(config_feed_options options, link_hub& links)
    : options_(std::move(options)), links_(links)
{
}

bool config_feed::apply(const std::string& text)
{
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
    }
    log_event(event::config_in_force, "generation={} routes={} organisations={} services={}",
              fresh->generation, fresh->routes.size(), fresh->organisations.size(),
              fresh->services.size());
    options_.on_generation(fresh);
    return true;
}

void config_feed::fetch_from(const endpoint& peer)
{
    std::string request;
    {
        const std::lock_guard lock(mutex_);
        if (std::exchange(fetching_, true))
            return;
        request = fmt::format("{}", generation_);
    }
    const auto done = [this](const result<std::string, link_error>& answer) {
        {
            const std::lock_guard lock(mutex_);
            fetching_ = false;
        }
        if (!failed(answer) && !value_of(answer).empty())
            apply(value_of(answer));
    };
    if (!links_.call(peer, std::string(config_path), std::move(request), fetch_timeout, done)) {
        const std::lock_guard lock(mutex_);
        fetching_ = false;
    }
}

std::string config_feed::answer(std::string_view request) const
{
    std::uint64_t known = 0;
    const auto [end, ec] = std::from_chars(request.data(), request.data() + request.size(), known);
    const std::lock_guard lock(mutex_);
    if (ec != std::errc{} || known >= generation_)
        return {};
    return text_;
}

} // namespace jasminebank
