#include "byte_queue.h"

#include <algorithm>

namespace jasminebank {

// A block is freed once its last byte was popped.
constexpr std::size_t block_bytes = std::size_t{16} << 10;

void byte_queue::push(std::span<const char> bytes)
{
    size_ += bytes.size();
    while (!bytes.empty()) {
        if (blocks_.empty() || blocks_.back().size() == block_bytes)
            blocks_.emplace_back();
        std::string& last = blocks_.back();
        const std::size_t n = std::min(bytes.size(), block_bytes - last.size());
        last.append(bytes.data(), n);
        bytes = bytes.subspan(n);
    }
}

std::size_t byte_queue::pop(std::span<char> buf)
{
    std::size_t out = 0;
    while (out < buf.size() && !blocks_.empty()) {
        const std::string& first = blocks_.front();
        const std::size_t n = first.copy(buf.data() + out, buf.size() - out, start_);
        out += n;
        start_ += n;
        if (start_ < first.size())
            break;
        blocks_.pop_front();
        start_ = 0;
    }
    size_ -= out;
    return out;
}

void byte_queue::clear()
{
    blocks_.clear();
    start_ = 0;
    size_ = 0;
}

} // namespace jasminebank
