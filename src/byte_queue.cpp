#include "byte_queue.h"

#include <algorithm>

namespace jasminebank {

// Erases the popped bytes once they are at least half of the vector, so that the vector has at most
// twice the size of the queue.
void byte_queue::push(std::span<const char> bytes)
{
    if (start_ > 0 && start_ >= size()) {
        bytes_.erase(bytes_.begin(), bytes_.begin() + static_cast<std::ptrdiff_t>(start_));
        start_ = 0;
    }
    bytes_.insert(bytes_.end(), bytes.begin(), bytes.end());
}

std::size_t byte_queue::pop(std::span<char> buf)
{
    const std::size_t n = std::min(buf.size(), size());
    std::copy_n(bytes_.begin() + static_cast<std::ptrdiff_t>(start_), n, buf.begin());
    start_ += n;
    if (empty())
        clear();
    return n;
}

void byte_queue::clear()
{
    std::vector<char>().swap(bytes_);
    start_ = 0;
}

} // namespace jasminebank
