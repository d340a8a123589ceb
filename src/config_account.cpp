#include "config_account.h"

#include "log.h"

#include <fmt/format.h>

namespace jasminebank {

// A transfer that takes longer is logged even if it succeeds: several of them follow one another
// before a change is in force everywhere.
constexpr duration slow_transfer = std::chrono::milliseconds(350);

void config_account::transfer_counts::add(const config_transfer& it)
{
    (it.cause.empty() ? succeeded : failed).fetch_add(1, std::memory_order_relaxed);
    bytes.fetch_add(it.bytes, std::memory_order_relaxed);
}

static bool is_worth_logging(const config_transfer& it)
{
    return !it.cause.empty() || it.took > slow_transfer;
}

void config_account::store_read_ended(const config_transfer& it)
{
    store_reads_.add(it);
    if (is_worth_logging(it))
        log_event(event::config_read_slow, "bytes={} ms={:.1f} cause=\"{}\"", it.bytes,
                  as_milliseconds(it.took), it.cause);
}

void config_account::fetch_ended(const endpoint& peer, std::uint64_t generation,
                                 const config_transfer& it)
{
    fetches_.add(it);
    if (is_worth_logging(it))
        log_event(event::config_fetch_slow, "peer={} generation={} bytes={} ms={:.1f} cause=\"{}\"",
                  to_string(peer), generation, it.bytes, as_milliseconds(it.took), it.cause);
}

void config_account::reader_changed(store_read_reason reason, std::optional<duration> contact_age)
{
    if (reason_.exchange(reason) != reason)
        log_event(event::config_reader_changed, "reason={} contact_ms={:.1f}", name_of(reason),
                  contact_age ? as_milliseconds(*contact_age) : -1.0);
}

void config_account::append(std::string& out, std::string_view name, const transfer_counts& it)
{
    out += fmt::format("# TYPE jasminebank_config_{0}_total counter\n"
                       "jasminebank_config_{0}_total{{result=\"ok\"}} {1}\n"
                       "jasminebank_config_{0}_total{{result=\"failed\"}} {2}\n"
                       "# TYPE jasminebank_config_{0}_bytes_total counter\n"
                       "jasminebank_config_{0}_bytes_total {3}\n",
                       name, it.succeeded.load(), it.failed.load(), it.bytes.load());
}

std::string config_account::text() const
{
    std::string out;
    append(out, "store_reads", store_reads_);
    append(out, "fetches", fetches_);
    const store_read_reason reason = reason_;
    out += "# TYPE jasminebank_config_store_reader gauge\n";
    for (const auto it : {store_read_reason::elected, store_read_reason::no_contact,
                          store_read_reason::deputy, store_read_reason::old_contact})
        out += fmt::format("jasminebank_config_store_reader{{reason=\"{}\"}} {}\n", name_of(it),
                           it == reason ? 1 : 0);
    return out;
}

} // namespace jasminebank
