#pragma once

// A first-in first-out queue of bytes that keeps no memory while it is empty.

#include <cstddef>
#include <span>
#include <vector>

namespace jasminebank {

/// Bytes on their way between a worker thread and a link. The owner bounds the size.
class byte_queue {
public:
    /// Appends all of `bytes`.
    void push(std::span<const char> bytes);
    /// Moves up to `buf.size()` bytes into `buf`; returns how many.
    std::size_t pop(std::span<char> buf);
    void clear();

    std::size_t size() const { return bytes_.size() - start_; }
    bool empty() const { return size() == 0; }

private:
    std::vector<char> bytes_;
    std::size_t start_ = 0;
};

} // namespace jasminebank
