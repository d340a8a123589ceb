#include "traffic_account.h"

#include <fmt/format.h>

namespace jasminebank {

constexpr std::array<std::string_view, traffic_causes> cause_names{
    "request_head", "request_body", "response_head", "response_body",   "probe",
    "limit",        "delegation",   "configuration", "member_datagram", "member_exchange",
    "relay",        "health",       "idempotency",   "other_control",   "other_frame"};
constexpr std::array<std::string_view, traffic_scopes> scope_names{"same_domain", "same_region",
                                                                   "other_region", "unknown"};

template <class Enum>
static std::size_t index_of(Enum it)
{
    return static_cast<std::size_t>(it);
}

std::string_view name_of(traffic_cause it)
{
    return cause_names.at(index_of(it));
}

std::string_view name_of(traffic_scope it)
{
    return scope_names.at(index_of(it));
}

traffic_scope scope_of_domain(const region_map& regions, failure_domain_id own,
                              failure_domain_id other)
{
    if (own == other)
        return traffic_scope::same_domain;
    const auto own_region = regions.region_of(own);
    const auto other_region = regions.region_of(other);
    if (!own_region || !other_region)
        return traffic_scope::unknown;
    return *own_region == *other_region ? traffic_scope::same_region : traffic_scope::other_region;
}

void traffic_account::add(traffic_cause cause, traffic_scope scope, std::size_t bytes)
{
    bytes_[index_of(cause)][index_of(scope)].fetch_add(bytes, std::memory_order_relaxed);
}

std::uint64_t traffic_account::bytes(traffic_cause cause, traffic_scope scope) const
{
    return bytes_[index_of(cause)][index_of(scope)].load(std::memory_order_relaxed);
}

void traffic_account::set_peers(const member_directory& directory, failure_domain_id own,
                                const domain_scope& scope_of_other)
{
    std::unordered_map<vm_id, traffic_scope> by_vm;
    std::unordered_map<std::string, traffic_scope> by_link;
    for (const member_record& it : directory.members()) {
        const traffic_scope scope =
            it.domain == own ? traffic_scope::same_domain : scope_of_other(it.domain);
        by_vm[it.vm] = scope;
        by_link[to_string(it.link)] = scope;
    }
    const std::lock_guard lock(mutex_);
    by_vm_ = std::move(by_vm);
    by_link_ = std::move(by_link);
    version_.fetch_add(1, std::memory_order_relaxed);
}

template <class Table, class Key>
static traffic_scope find_scope(const Table& table, const Key& key)
{
    const auto it = table.find(key);
    return it == table.end() ? traffic_scope::unknown : it->second;
}

traffic_scope traffic_account::scope_of(vm_id peer) const
{
    const std::lock_guard lock(mutex_);
    return find_scope(by_vm_, peer);
}

traffic_scope traffic_account::scope_of(const endpoint& link) const
{
    const std::string address = to_string(link);
    const std::lock_guard lock(mutex_);
    return find_scope(by_link_, address);
}

std::string traffic_account::text() const
{
    std::string out = "# TYPE jasminebank_sent_bytes_total counter\n";
    for (std::size_t c = 0; c < traffic_causes; ++c) {
        for (std::size_t s = 0; s < traffic_scopes; ++s) {
            const std::uint64_t n = bytes_[c][s].load(std::memory_order_relaxed);
            if (n != 0)
                out += fmt::format("jasminebank_sent_bytes_total{{cause=\"{}\",scope=\"{}\"}} {}\n",
                                   cause_names[c], scope_names[s], n);
        }
    }
    return out;
}

} // namespace jasminebank
