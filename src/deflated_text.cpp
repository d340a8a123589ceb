#include "deflated_text.h"

#include <zlib.h>

#include <algorithm>
#include <cassert>

namespace jasminebank {

// zlib takes pointers to bytes that are not const.
static Bytef* bytes_of(std::string_view text)
{
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-const-cast)
    return reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));
}

std::string deflate_text(std::string_view text)
{
    uLongf size = compressBound(static_cast<uLong>(text.size()));
    std::string out(size, '\0');
    [[maybe_unused]] const int ec = compress2(bytes_of(out), &size, bytes_of(text),
                                              static_cast<uLong>(text.size()), Z_BEST_SPEED);
    assert(ec == Z_OK);
    out.resize(size);
    return out;
}

std::optional<std::string> inflate_text(std::string_view bytes, std::size_t max_bytes)
{
    constexpr std::size_t chunk_bytes = 64UL * 1024;
    z_stream in{};
    in.next_in = bytes_of(bytes);
    in.avail_in = static_cast<uInt>(bytes.size());
    if (inflateInit(&in) != Z_OK)
        return std::nullopt;
    std::string out;
    int ec = Z_OK;
    while (ec == Z_OK && out.size() <= max_bytes) {
        const std::size_t before = out.size();
        const std::size_t room = std::min(chunk_bytes, max_bytes + 1 - before);
        out.resize(before + room);
        in.next_out = bytes_of(std::string_view(out).substr(before));
        in.avail_out = static_cast<uInt>(room);
        ec = inflate(&in, Z_NO_FLUSH);
        out.resize(before + room - in.avail_out);
    }
    inflateEnd(&in);
    if (ec != Z_STREAM_END || in.avail_in != 0 || out.size() > max_bytes)
        return std::nullopt;
    return out;
}

} // namespace jasminebank
