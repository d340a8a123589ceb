#include "log.h"

#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>

using namespace jasminebank;

static std::string row_start(const event_entry& it)
{
    return fmt::format("| {} | {} | {} |", static_cast<unsigned>(it.number), it.name,
                       it.level == severity::info
                           ? "info"
                           : (it.level == severity::warning ? "warning" : "error"));
}

TEST(log, every_event_is_listed_in_the_catalogue)
{
    std::ifstream in(std::string(JASMINEBANK_SOURCE_DIR) + "/docs/EVENTS.md");
    std::ostringstream text;
    text << in.rdbuf();
    std::set<unsigned> numbers;
    for (const event_entry& it : event_catalogue()) {
        EXPECT_TRUE(numbers.insert(static_cast<unsigned>(it.number)).second);
        EXPECT_NE(text.str().find(row_start(it)), std::string::npos) << row_start(it);
    }
}
