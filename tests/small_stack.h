#pragma once

// Runs code on a thread with a stack as small as that of a worker.

#include <gtest/gtest.h>
#include <pthread.h>

#include <cstddef>
#include <functional>

namespace jasminebank {

inline void run_on_small_stack(std::function<void()> body)
{
    constexpr std::size_t stack_bytes = 256UL * 1024;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, stack_bytes);
    pthread_t thread{};
    const auto call = [](void* it) -> void* {
        (*static_cast<std::function<void()>*>(it))();
        return nullptr;
    };
    ASSERT_EQ(pthread_create(&thread, &attributes, call, &body), 0);
    pthread_join(thread, nullptr);
    pthread_attr_destroy(&attributes);
}

} // namespace jasminebank
