#include "fake_backend.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace jasminebank;
using namespace std::chrono_literals;
using json = nlohmann::json;

namespace {

fake_backend_options quick_options()
{
    return {.slots = 1, .waiting = 0, .service_time = 1ms, .service_noise = 0};
}

httplib::Client client_of(const fake_backend& backend)
{
    httplib::Client out(backend.address().host, backend.address().port);
    out.set_keep_alive(true);
    out.set_connection_timeout(5s);
    out.set_read_timeout(10s);
    return out;
}

httplib::Headers headers_of(const std::string& id)
{
    return {{"X-Request-Id", id}, {"Jasmine-Organisation", "org1"}};
}

} // namespace

TEST(fake_backend, answer_belongs_to_its_request_and_is_counted_once)
{
    fake_backend backend(quick_options());
    ASSERT_TRUE(backend.start());
    auto client = client_of(backend);
    for (const std::string target : {"/a?size=70000", "/a?size=70000&chunked=1"}) {
        const auto answer =
            client.Post(target, headers_of(target), "upload", "multipart/form-data");
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->status, 200);
        EXPECT_EQ(answer->get_header_value("X-Request-Id"), target);
        EXPECT_EQ(answer->get_header_value("X-Organisation"), "org1");
        EXPECT_EQ(answer->body.size(), 70000U);
        EXPECT_TRUE(answer_body(target, 70000, digest_of("upload")).matches(0, answer->body));
        EXPECT_FALSE(answer_body("other", 70000, digest_of("upload")).matches(0, answer->body));
        EXPECT_EQ(backend.account().runs_of(target), 1U);
    }
    const auto seen = client.Get("/control/seen?text=org1");
    ASSERT_TRUE(seen);
    EXPECT_EQ(json::parse(seen->body).at("count"), 1);
}
