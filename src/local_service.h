#pragma once

// Which service the backend server on this VM provides. The settings say so at the start of the
// node; later the address may go to a server of another service, which its announcements tell. An
// announcement may also arrive late, from a server that has ended before the node started.

#include "announcement.h"

#include <chrono>
#include <mutex>
#include <string>

namespace jasminebank {

/// Thread-safe.
class local_service {
public:
    /// `name` is the service in the settings, which were read at `read_at`; may be empty.
    local_service(std::string name, std::chrono::system_clock::time_point read_at);

    std::string name() const;
    /// Takes an announcement of the backend server on this VM that the gate has accepted.
    void announced(const announcement& it);

private:
    bool is_current(const announcement& it);

    const std::string name_in_settings_;
    const std::chrono::system_clock::time_point read_at_;
    mutable std::mutex mutex_;
    std::string name_;
    incarnation contrary_run_{};          // that names another service than the settings
    std::uint64_t contrary_sequence_ = 0; // of its first announcement
};

} // namespace jasminebank
