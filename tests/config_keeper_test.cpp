#include "config_keeper.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace jasminebank;

namespace {

// Generation `n` of a configuration; a few documents differ between generations.
std::vector<ini_section> sections_of(std::uint64_t n)
{
    std::vector<ini_section> out;
    for (std::uint64_t k = 0; k < 20; ++k) {
        out.push_back({"organisation o" + std::to_string(k),
                       0,
                       {{"rate", std::to_string(k == n % 20 ? n : 1), 0}, {"burst", "2", 0}}});
    }
    return out;
}

void adopt(config_keeper& it, std::uint64_t generation)
{
    const config_texts texts = split_documents(sections_of(generation));
    if (!it.accept_head(make_head(texts, generation, "c")))
        return;
    for (const std::string& text : texts)
        it.add_document(text);
    RC_ASSERT(!failed(it.activate()));
}

} // namespace

// Heads arrive in any order, from stale store reads and slow peers, and documents arrive a few at a
// time. The generation in force must never decrease, nor contain documents of two generations.
RC_GTEST_PROP(config_keeper, generations_never_decrease_and_are_never_mixed, ())
{
    std::vector<config_keeper> nodes(4);
    std::vector<std::uint64_t> before(nodes.size(), 0);
    for (int n = 0; n < 60; ++n) {
        config_keeper& it = nodes[*rc::gen::inRange<std::size_t>(0, nodes.size())];
        const config_keeper& peer = nodes[*rc::gen::inRange<std::size_t>(0, nodes.size())];
        if (*rc::gen::inRange(0, 4) == 0) {
            adopt(it, *rc::gen::inRange<std::uint64_t>(1, 30));
        }
        else {
            const auto request = decode_config_request(encode_config_request(it.make_request()));
            const auto response =
                decode_config_response(encode_config_response(peer.make_response(*request, 40)));
            if (response) {
                it.accept_head(response->head);
                for (const std::string& text : response->documents)
                    it.add_document(text);
                RC_ASSERT(!failed(it.activate()));
            }
        }
        for (std::size_t k = 0; k < nodes.size(); ++k) {
            const auto& current = nodes[k].current();
            if (!current)
                continue;
            const std::uint64_t now = current->head.generation;
            RC_ASSERT(now >= before[k]);
            RC_ASSERT(current->texts == split_documents(sections_of(now)));
            RC_ASSERT(current->config->generation == now);
            before[k] = now;
        }
    }
}

TEST(config_keeper, a_generation_that_does_not_parse_keeps_the_old_one_in_force)
{
    config_keeper it;
    adopt(it, 1);
    config_texts texts(document_count);
    texts[0] = "[service web]\nfloor_slots = many\n";
    EXPECT_TRUE(it.accept_head(make_head(texts, 2, "bad")));
    it.add_document(texts[0]);
    EXPECT_TRUE(failed(it.activate()));
    EXPECT_EQ(it.current()->head.generation, 1U);
    EXPECT_FALSE(it.accept_head(make_head(texts, 2, "bad")));
    adopt(it, 3);
    EXPECT_EQ(it.current()->head.generation, 3U);
}

TEST(config_keeper, refuses_malformed_messages)
{
    EXPECT_FALSE(decode_config_request("\x01").has_value());
    EXPECT_FALSE(decode_config_response("").has_value());
    EXPECT_FALSE(decode_config_response(encode_config_request({})).has_value());
}
