#include "config_document.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace jasminebank;

namespace {

std::vector<ini_section> sections_of(int organisations)
{
    std::vector<ini_section> out{
        {"service web", 0, {{"floor_slots", "4", 0}}},
        {"route r", 0, {{"path", "/a", 0}, {"service", "web", 0}}},
    };
    for (int n = 0; n < organisations; ++n) {
        out.push_back({"organisation o" + std::to_string(n),
                       0,
                       {{"rate", std::to_string(n + 1), 0}, {"burst", "2", 0}}});
    }
    return out;
}

} // namespace

TEST(config_document, round_trip_and_head)
{
    const config_texts texts = split_documents(sections_of(300));
    const config_head head = make_head(texts, 7, "c1");
    EXPECT_EQ(decode_head(encode_head(head)), head);
    const auto config = build_generation(head, texts);
    ASSERT_FALSE(failed(config)) << describe(error_of(config));
    EXPECT_EQ(value_of(config)->generation, 7U);
    EXPECT_EQ(value_of(config)->organisations.size(), 300U);
    EXPECT_FALSE(decode_head("{}").has_value());
    EXPECT_FALSE(decode_head("[").has_value());
}

RC_GTEST_PROP(config_document, a_change_of_one_organisation_rewrites_one_document, ())
{
    auto sections = sections_of(300);
    const config_texts before = split_documents(sections);
    const auto n = *rc::gen::inRange<std::size_t>(2, sections.size());
    ini_section changed = sections[n];
    changed.fields[0].value = "999";
    put_section(sections, changed);
    const config_texts after = split_documents(sections);
    int differences = 0;
    for (std::size_t k = 0; k < document_count; ++k)
        differences += before[k] != after[k] ? 1 : 0;
    RC_ASSERT(differences == 1);
}

TEST(config_document, base_section_holds_the_generation_a_file_was_made_from)
{
    auto file = parse_ini("a.ini", "[base]\ngeneration = 7\n[route r]\npath = /a\n");
    ASSERT_FALSE(failed(file));
    const auto base = extract_base_generation(value_of(file));
    ASSERT_FALSE(failed(base));
    EXPECT_EQ(value_of(base), 7U);
    ASSERT_EQ(value_of(file).sections.size(), 1U);
    EXPECT_EQ(value_of(file).sections.front().name, "route r");
    const auto without = extract_base_generation(value_of(file));
    EXPECT_TRUE(!failed(without) && !value_of(without).has_value());
}

TEST(config_document, an_invalid_base_generation_is_rejected)
{
    for (const char* text :
         {"[base]\ngeneration = x\n", "[base]\n", "[base]\ngeneration = -1\n",
          "[base]\ngeneration = 1\nsurplus = 2\n", "[base]\ngeneration = 99999999999999999999\n"}) {
        auto file = parse_ini("a.ini", text);
        ASSERT_FALSE(failed(file));
        EXPECT_TRUE(failed(extract_base_generation(value_of(file)))) << text;
    }
}
