#include "request_metrics.h"

#include <gtest/gtest.h>

using namespace jasminebank;
using namespace std::chrono_literals;

TEST(request_metrics, number_of_series_is_bounded_and_every_request_is_counted)
{
    request_metrics it;
    for (int n = 0; n < 45'000; ++n) {
        const std::string name = "organisation-" + std::to_string(n);
        it.add({.organisation = name, .service = "web", .outcome = "ran", .latency = 3ms});
    }
    const std::string text = it.text();
    EXPECT_LT(text.size(), 200'000U);
    EXPECT_NE(
        text.find("jasminebank_service_requests_total{service=\"web\",outcome=\"ran\"} 45000"),
        std::string::npos);
    EXPECT_NE(text.find("organisation=\"_others\""), std::string::npos);
}
