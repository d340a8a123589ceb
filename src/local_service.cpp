#include "local_service.h"

#include <utility>

namespace jasminebank {

local_service::local_service(std::string name, std::chrono::system_clock::time_point read_at)
    : name_in_settings_(std::move(name)), read_at_(read_at), name_(name_in_settings_)
{
}

std::string local_service::name() const
{
    const std::lock_guard lock(mutex_);
    return name_;
}

// A server that contradicts the settings has either started after they were read or ended before.
// The times of start are on this VM's clock, which may have been set back: a server that goes on
// announcing itself is current whatever they say.
bool local_service::is_current(const announcement& it)
{
    const bool is_time_known = it.started != std::chrono::system_clock::time_point{};
    if (name_in_settings_.empty() || it.service_name == name_in_settings_ || !is_time_known ||
        it.started >= read_at_)
        return true;
    if (contrary_run_ != it.run) {
        contrary_run_ = it.run;
        contrary_sequence_ = it.sequence;
    }
    return it.sequence >= contrary_sequence_ + max_late_announcements;
}

void local_service::announced(const announcement& it)
{
    const std::lock_guard lock(mutex_);
    if (is_current(it))
        name_ = it.service_name;
}

} // namespace jasminebank
