#pragma once

// Limits the memory that all connections of a process together use for buffered bytes. Each stream
// has a small buffer of its own; a larger one takes its part of the budget. When nothing is left,
// streams go on with their small buffers, so a peer that reads slowly, or sends without end, slows
// down only itself.

#include <cstddef>
#include <memory>
#include <mutex>

namespace jasminebank {

/// Thread-safe.
class buffer_budget {
public:
    explicit buffer_budget(std::size_t bytes) : left_(bytes) {}

    /// Bytes that are not reserved.
    std::size_t left() const;

private:
    friend class buffer_reservation;
    bool take(std::size_t bytes);
    void give_back(std::size_t bytes);

    mutable std::mutex mutex_;
    std::size_t left_;
};

/// A part of a budget, given back on destruction. Empty if nothing is reserved.
class buffer_reservation {
public:
    buffer_reservation() = default;
    /// Reserves `bytes`, or nothing if less is left. Without a budget there is no limit.
    buffer_reservation(std::shared_ptr<buffer_budget> budget, std::size_t bytes);
    ~buffer_reservation();
    buffer_reservation(buffer_reservation&& other) noexcept;
    buffer_reservation& operator=(buffer_reservation&& other) noexcept;
    buffer_reservation(const buffer_reservation&) = delete;
    buffer_reservation& operator=(const buffer_reservation&) = delete;

    std::size_t bytes() const { return bytes_; }
    bool is_empty() const { return bytes_ == 0; }

private:
    std::shared_ptr<buffer_budget> budget_;
    std::size_t bytes_ = 0;
};

} // namespace jasminebank
