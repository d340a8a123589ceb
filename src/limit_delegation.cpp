#include "limit_delegation.h"

#include <algorithm>

namespace jasminebank {

// Salt of the ranking that picks the holder of a group.
constexpr std::uint64_t holder_salt = 0x6c696d6974;

limit_delegation::limit_delegation(const limit_delegation_options& options)
    : options_(options), candidates_{options.self.vm}, loans_(options.groups), lent_(options.groups)
{
}

void limit_delegation::set_members(std::span<const member_record> members, time_point now)
{
    candidates_.clear();
    for (const member_record& it : members) {
        if (!it.leaving)
            candidates_.push_back(it.vm);
    }
    std::erase_if(silent_, [this](const auto& it) {
        return std::ranges::find(candidates_, it.first) == candidates_.end();
    });
    std::erase_if(counts_, [&](const past_count& it) {
        return it.count <= members.size() || now - it.seen > options_.members_remembered;
    });
    counts_.push_back({.count = members.size(), .seen = now});
}

std::vector<vm_id> limit_delegation::silent() const
{
    std::vector<vm_id> out;
    for (const auto& [vm, next] : silent_)
        out.push_back(vm);
    return out;
}

std::uint32_t limit_delegation::own_share() const
{
    std::size_t most = std::max<std::size_t>(known_nodes_, 1);
    for (const past_count& it : counts_)
        most = std::max(most, it.count);
    return static_cast<std::uint32_t>(all_shares / most);
}

vm_id limit_delegation::holder_of(std::uint32_t group) const
{
    vm_id out{};
    std::uint64_t best = 0;
    for (const vm_id it : candidates_) {
        if (silent_.contains(it))
            continue;
        const std::uint64_t rank = mix(mix(it.value, holder_salt), group);
        if (rank >= best) {
            best = rank;
            out = it;
        }
    }
    return out;
}

// A share that this node lent to itself can be had back at once; terms that were told last on.
void limit_delegation::take_back(std::uint32_t group, time_point now)
{
    if (loans_[group].to == options_.self.vm && lent_[group].erase(options_.self.vm) > 0)
        loans_[group].until = now + options_.terms_last;
}

// All that lend to a dead holder notice it at about the same time, long before it counts as gone.
void limit_delegation::pass_over_silent(time_point now)
{
    for (loan_state& loan : loans_) {
        if (!loan.unanswered_since || now - *loan.unanswered_since < options_.silent_after)
            continue;
        silent_.try_emplace(loan.to, now);
        loan.unanswered_since.reset();
    }
}

void limit_delegation::ask_silent(std::vector<send_delegation>& out, time_point now)
{
    for (auto& [vm, next] : silent_) {
        if (now < next)
            continue;
        next = now + options_.renew_every;
        out.push_back({.to = vm, .body = {.group = 0, .share = 0}});
    }
}

// A share goes to another holder only when the one before can no longer use it.
std::vector<send_delegation> limit_delegation::tick(time_point now)
{
    std::vector<send_delegation> out;
    pass_over_silent(now);
    ask_silent(out, now);
    for (std::uint32_t group = 0; group < options_.groups; ++group) {
        loan_state& loan = loans_[group];
        const vm_id holder = holder_of(group);
        if (holder == vm_id{})
            continue;
        if (loan.to != holder) {
            take_back(group, now);
            if (now < loan.until)
                continue;
            loan = {.to = holder};
        }
        if (now < loan.next_send)
            continue;
        loan.next_send = now + options_.renew_every;
        if (holder == options_.self.vm) {
            lent_[group][holder] = {.share = own_share(), .until = now + options_.lasts};
            loan.until = now + options_.lasts;
            continue;
        }
        delegation body{.group = group, .share = own_share(), .stamp = loan.stamp};
        if (loan.stamp)
            loan.until = std::max(loan.until, loan.stamped_at + with_drift_margin(options_.lasts));
        else
            body.share = 0;
        if (!loan.unanswered_since)
            loan.unanswered_since = now;
        out.push_back({.to = holder, .body = body});
    }
    return out;
}

delegation_stamp limit_delegation::receive(vm_id from, const delegation& it, time_point now)
{
    const delegation_stamp fresh{.run = options_.self.run,
                                 .issued_ns = now.time_since_epoch().count()};
    if (it.group >= options_.groups || !it.stamp || it.stamp->run != options_.self.run ||
        it.stamp->issued_ns > fresh.issued_ns || it.share > all_shares)
        return fresh;
    const time_point until = time_point(duration(it.stamp->issued_ns)) + options_.lasts;
    lent_share& known = lent_[it.group][from];
    if (until >= known.until)
        known = {.share = it.share, .until = until};
    return fresh;
}

// The first stamp of a new holder is used at once, so that it has the share without delay.
void limit_delegation::answered(vm_id holder, std::uint32_t group, const delegation_stamp& stamp,
                                time_point now)
{
    silent_.erase(holder);
    if (group >= options_.groups || loans_[group].to != holder)
        return;
    loan_state& loan = loans_[group];
    loan.unanswered_since.reset();
    if (!loan.stamp)
        loan.next_send = now;
    loan.stamp = stamp;
    loan.stamped_at = now;
}

std::optional<mandate_terms> limit_delegation::terms(std::uint32_t group, time_point now) const
{
    if (holder_of(group) != options_.self.vm)
        return std::nullopt;
    std::uint64_t sum = 0;
    for (const auto& [vm, it] : lent_[group]) {
        if (it.until >= now + options_.terms_last)
            sum += it.share;
    }
    sum = std::min<std::uint64_t>(sum, all_shares);
    // The shares of a whole fleet, each rounded down, count as the whole.
    constexpr std::uint64_t rounding = 1000;
    return mandate_terms{
        .share = static_cast<std::uint32_t>((sum + rounding) * whole_share / all_shares),
        .until = now + options_.terms_last};
}

} // namespace jasminebank
