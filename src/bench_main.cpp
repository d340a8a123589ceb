// bench: runs seeded simulations of admission, placement, failure detection and rate limiting
// without sockets. Prints the measured figures and a signature of all decisions, which shows
// changes of behaviour.

#include "bench_admission.h"
#include "bench_crossing.h"
#include "bench_detection.h"
#include "bench_limits.h"
#include "bench_report.h"

#include <fmt/format.h>
#include <getopt.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace {

using namespace jasminebank;

// One workload of the bench. Runs with the same `seed` make the same decisions.
struct workload {
    std::string_view name;
    std::string_view meaning;
    void (*run)(std::uint64_t seed, bench_report& report);
    bool only_by_name = false; // takes too long to run by default
};

// Sorted by name.
constexpr std::array workloads{
    workload{"admission", "admission when a service is short of capacity", bench_admission},
    workload{"crossing", "leaving the failure domain and the region", bench_crossing},
    workload{"detection", "delay of finding failing backend servers", run_detection},
    workload{"false_alarms", "100 hours of healthy traffic (only by name)", run_false_alarms, true},
    workload{"limits", "rate and burst of organisations over the fleet", bench_limits},
};

void print_help()
{
    fmt::print("usage: bench [--seed N] [WORKLOAD...]\n\n"
               "Runs the named workloads, or all of them, and prints figures and a signature.\n\n"
               "  -s, --seed N   seed of the random workloads (default 1)\n"
               "  -h, --help     this text\n\nworkloads:\n");
    for (const workload& it : workloads)
        fmt::print("  {:<12} {}\n", it.name, it.meaning);
}

bool is_selected(const workload& it, int argc, char** argv)
{
    for (int n = optind; n < argc; ++n) {
        if (it.name == argv[n])
            return true;
    }
    return optind == argc && !it.only_by_name;
}

} // namespace

int main(int argc, char** argv)
{
    std::uint64_t seed = 1;
    const std::array<option, 3> options{{{"seed", required_argument, nullptr, 's'},
                                         {"help", no_argument, nullptr, 'h'},
                                         {nullptr, 0, nullptr, 0}}};
    for (int c = 0; (c = getopt_long(argc, argv, "s:h", options.data(), nullptr)) != -1;) {
        if (c == 's') {
            seed = std::strtoull(optarg, nullptr, 10);
        }
        else {
            print_help();
            return c == 'h' ? EXIT_SUCCESS : EXIT_FAILURE;
        }
    }
    std::uint64_t total = 0;
    for (const workload& it : workloads) {
        if (!is_selected(it, argc, argv))
            continue;
        bench_report report;
        it.run(seed, report);
        for (const bench_figure& figure : report.figures())
            fmt::print("{:<12} {:<56} {:>14.4f} {}\n", it.name, figure.name, figure.value,
                       figure.unit);
        fmt::print("{:<12} signature {:016x}\n", it.name, report.signature());
        total += report.signature();
    }
    fmt::print("signature {:016x}\n", total);
    return EXIT_SUCCESS;
}
