#include "stream_table.h"

#include <utility>

namespace jasminebank {

stream_entry* stream_table::find(std::int32_t id)
{
    const auto it = entries_.find(id);
    return it == entries_.end() ? nullptr : &it->second;
}

const stream_entry* stream_table::find(std::int32_t id) const
{
    const auto it = entries_.find(id);
    return it == entries_.end() ? nullptr : &it->second;
}

static std::size_t growth_of(const link_options& it)
{
    return it.stream_buffer_bytes > it.first_window_bytes
               ? it.stream_buffer_bytes - it.first_window_bytes
               : 0;
}

void stream_table::remove(std::int32_t id)
{
    const auto it = entries_.find(id);
    if (it == entries_.end())
        return;
    const stream_entry& entry = it->second;
    grown_bytes_ -= entry.window_growth.bytes();
    if (entry.control)
        control_bytes_ -= entry.control->in.size();
    if (entry.counts_against_limit && entry.kind == stream_kind::request)
        --request_streams_;
    else if (entry.counts_against_limit)
        --control_streams_;
    entries_.erase(it);
}

bool stream_table::has_room(stream_kind kind) const
{
    if (kind == stream_kind::request)
        return request_streams_ < options_.max_streams;
    return control_streams_ < options_.max_control_streams;
}

void stream_table::count(stream_entry& it)
{
    it.counts_against_limit = true;
    if (it.kind == stream_kind::request)
        ++request_streams_;
    else
        ++control_streams_;
}

bool stream_table::add_control_bytes(stream_entry& it, std::span<const char> bytes)
{
    std::string& in = it.control->in;
    if (in.size() + bytes.size() > options_.max_control_bytes ||
        control_bytes_ + bytes.size() > options_.max_link_control_bytes)
        return false;
    in.append(bytes.data(), bytes.size());
    control_bytes_ += bytes.size();
    return true;
}

std::string stream_table::take_control_bytes(stream_entry& it)
{
    control_bytes_ -= it.control->in.size();
    return std::exchange(it.control->in, {});
}

bool stream_table::grow_window(stream_entry& it)
{
    const std::size_t growth = growth_of(options_);
    if (!it.window_growth.is_empty() || grown_bytes_ + growth > options_.link_buffer_bytes)
        return false;
    it.window_growth = buffer_reservation(options_.buffers, growth);
    grown_bytes_ += it.window_growth.bytes();
    return !it.window_growth.is_empty();
}

} // namespace jasminebank
