#include "buffer_budget.h"

#include <utility>

namespace jasminebank {

std::size_t buffer_budget::left() const
{
    const std::lock_guard lock(mutex_);
    return left_;
}

bool buffer_budget::take(std::size_t bytes)
{
    const std::lock_guard lock(mutex_);
    if (bytes > left_)
        return false;
    left_ -= bytes;
    return true;
}

void buffer_budget::give_back(std::size_t bytes)
{
    const std::lock_guard lock(mutex_);
    left_ += bytes;
}

buffer_reservation::buffer_reservation(std::shared_ptr<buffer_budget> budget, std::size_t bytes)
    : budget_(std::move(budget))
{
    if (budget_ == nullptr || budget_->take(bytes))
        bytes_ = bytes;
}

buffer_reservation::~buffer_reservation()
{
    if (budget_ != nullptr && bytes_ > 0)
        budget_->give_back(bytes_);
}

buffer_reservation::buffer_reservation(buffer_reservation&& other) noexcept
    : budget_(std::move(other.budget_)), bytes_(std::exchange(other.bytes_, 0))
{
}

buffer_reservation& buffer_reservation::operator=(buffer_reservation&& other) noexcept
{
    std::swap(budget_, other.budget_);
    std::swap(bytes_, other.bytes_);
    return *this;
}

} // namespace jasminebank
