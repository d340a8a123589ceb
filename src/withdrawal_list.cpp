#include "withdrawal_list.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace jasminebank {

// A node has one backend server on the platform and about 13 without it.
constexpr std::size_t max_withdrawals = 64;

bool withdrawal_list::add(const server_withdrawal& it)
{
    if (it.run == incarnation{} || contains(it))
        return false;
    std::erase_if(entries_, [&](const server_withdrawal& e) { return e.server == it.server; });
    if (entries_.size() >= max_withdrawals)
        entries_.erase(entries_.begin());
    entries_.push_back(it);
    return true;
}

bool withdrawal_list::merge(const std::vector<server_withdrawal>& entries)
{
    bool changed = false;
    for (const server_withdrawal& it : entries)
        changed = add(it) || changed;
    return changed;
}

bool withdrawal_list::contains(const server_withdrawal& it) const
{
    return std::any_of(entries_.begin(), entries_.end(), [&](const server_withdrawal& e) {
        return e.server == it.server && it.run <= e.run;
    });
}

// One "SERVER RUN" line for each entry.
std::string encode_withdrawals(const std::vector<server_withdrawal>& entries)
{
    std::string out;
    for (const server_withdrawal& it : entries)
        out += fmt::format("{:016x} {}\n", it.server.value, it.run.value);
    return out;
}

// Reads a number up to `end_mark` and removes both from the text; nothing if there is no such
// number.
static std::optional<std::uint64_t> take_number(std::string_view& text, int base, char end_mark)
{
    std::uint64_t out = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out, base);
    if (ec != std::errc{} || end == text.data() + text.size() || *end != end_mark)
        return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(end - text.data()) + 1);
    return out;
}

std::optional<std::vector<server_withdrawal>> decode_withdrawals(std::string_view text)
{
    constexpr int hexadecimal = 16;
    constexpr int decimal = 10;
    std::vector<server_withdrawal> out;
    while (!text.empty()) {
        const auto server = take_number(text, hexadecimal, ' ');
        const auto run = server ? take_number(text, decimal, '\n') : std::nullopt;
        if (!run || out.size() >= max_withdrawals)
            return std::nullopt;
        out.push_back({.server = {*server}, .run = {*run}});
    }
    return out;
}

} // namespace jasminebank
