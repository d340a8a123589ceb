#include "latency_histogram.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace jasminebank;

RC_GTEST_PROP(latency_histogram, quantile_differs_by_at_most_one_bucket_from_exact, ())
{
    const auto micros =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(20, 50'000'000)));
    latency_histogram it;
    for (int n : micros)
        it.add(std::chrono::microseconds(n));
    std::vector<int> sorted = micros;
    std::sort(sorted.begin(), sorted.end());
    for (double share : {0.01, 0.5, 0.9, 1.0}) {
        const auto rank =
            static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
        const double exact = sorted[std::max<std::size_t>(rank, 1) - 1] * 1e-6;
        const double measured = std::chrono::duration<double>(it.quantile(share)).count();
        RC_ASSERT(measured >= exact / 1.012 && measured <= exact * 1.012);
    }
    std::uint64_t in_bars = 0;
    for (const histogram_bar& bar : it.bars())
        in_bars += bar.count;
    RC_ASSERT(in_bars == micros.size());
}
