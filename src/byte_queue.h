#pragma once

// A FIFO queue of bytes that holds little more memory than its bytes, and none while it is empty.

#include <cstddef>
#include <list>
#include <span>
#include <string>

namespace jasminebank {

/// Buffers bytes between a worker thread and a link. The owner limits the size.
class byte_queue {
public:
    /// Appends all of `bytes`.
    void push(std::span<const char> bytes);
    /// Moves up to `buf.size()` bytes into `buf` and returns their number.
    std::size_t pop(std::span<char> buf);
    void clear();

    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }

private:
    std::list<std::string> blocks_; // none is empty
    std::size_t start_ = 0;         // bytes popped from the first block
    std::size_t size_ = 0;
};

} // namespace jasminebank
