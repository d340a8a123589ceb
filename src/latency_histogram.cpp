#include "latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace jasminebank {

namespace accumulators = boost::accumulators;

static duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

std::size_t log_scale::bucket_of(double seconds)
{
    if (seconds <= lowest_seconds)
        return 0;
    const double n = std::log10(seconds / lowest_seconds) * buckets_per_decade;
    return std::min(static_cast<std::size_t>(n), buckets - 1);
}

double log_scale::seconds_of(double bucket)
{
    return lowest_seconds * std::pow(10.0, bucket / buckets_per_decade);
}

void latency_histogram::add(duration latency)
{
    set_(std::chrono::duration<double>(latency).count());
}

std::uint64_t latency_histogram::count() const
{
    return accumulators::count(set_);
}

duration latency_histogram::mean() const
{
    return count() == 0 ? duration::zero() : to_duration(accumulators::mean(set_));
}

duration latency_histogram::max() const
{
    return count() == 0 ? duration::zero() : to_duration(accumulators::max(set_));
}

duration latency_histogram::quantile(double share) const
{
    const bucket_counts& counts = accumulators::extract_result<log_buckets_tag>(set_);
    const double wanted = share * static_cast<double>(count());
    double below = 0;
    for (std::size_t n = 0; n < counts.size(); ++n) {
        const auto in_bucket = static_cast<double>(counts[n]);
        if (in_bucket > 0 && below + in_bucket >= wanted) {
            const double fraction = (wanted - below) / in_bucket;
            return std::min(to_duration(log_scale::seconds_of(static_cast<double>(n) + fraction)),
                            max());
        }
        below += in_bucket;
    }
    return max();
}

std::vector<histogram_bar> latency_histogram::bars() const
{
    constexpr std::size_t buckets_per_bar = log_scale::buckets_per_decade / 10;
    const bucket_counts& counts = accumulators::extract_result<log_buckets_tag>(set_);
    std::vector<histogram_bar> out;
    std::size_t used = 0;
    for (std::size_t n = 0; n < counts.size(); n += buckets_per_bar) {
        histogram_bar it{
            .from = to_duration(log_scale::seconds_of(static_cast<double>(n))),
            .to = to_duration(log_scale::seconds_of(static_cast<double>(n + buckets_per_bar)))};
        for (std::size_t k = n; k < n + buckets_per_bar; ++k)
            it.count += counts[k];
        if (it.count > 0 || !out.empty())
            out.push_back(it);
        if (it.count > 0)
            used = out.size();
    }
    out.resize(used);
    return out;
}

} // namespace jasminebank
