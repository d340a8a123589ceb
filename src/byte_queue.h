#pragma once

// A FIFO queue of bytes that holds no memory while it is empty.

#include <cstddef>
#include <span>
#include <vector>

namespace jasminebank {

/// Buffers bytes between a worker thread and a link. The owner limits the size.
class byte_queue {
public:
    /// Appends all of `bytes`.
    void push(std::span<const char> bytes);
    /// Moves up to `buf.size()` bytes into `buf` and returns their number.
    std::size_t pop(std::span<char> buf);
    void clear();

    std::size_t size() const { return bytes_.size() - start_; }
    bool empty() const { return size() == 0; }

private:
    std::vector<char> bytes_;
    std::size_t start_ = 0;
};

} // namespace jasminebank
