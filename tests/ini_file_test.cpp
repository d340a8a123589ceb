#include "ini_file.h"

#include <gtest/gtest.h>

using namespace jasminebank;
using namespace std::chrono_literals;

TEST(ini_file, reads_typed_fields)
{
    const auto file = parse_ini("a.ini", "[node]\nname = vm1\nworkers = 8\nttl = 250ms\n");
    ASSERT_FALSE(failed(file));
    field_reader in(value_of(file), value_of(file).sections.at(0));
    EXPECT_EQ(in.required_text("name"), "vm1");
    EXPECT_EQ(in.number("workers", 1, 1, 16), 8U);
    EXPECT_EQ(in.time("ttl", 1s, 1ms, 1s), 250ms);
    EXPECT_FALSE(in.finish().has_value());
}

TEST(ini_file, error_names_line_field_and_what_is_allowed)
{
    const auto file = parse_ini("a.ini", "; head\n[node]\nworkers = many\n");
    ASSERT_FALSE(failed(file));
    field_reader in(value_of(file), value_of(file).sections.at(0));
    in.number("workers", 1, 1, 16);
    ASSERT_TRUE(in.finish().has_value());
    EXPECT_EQ(describe(*in.finish()),
              "a.ini:3: [node] workers: found \"many\", allowed: a whole number from 1 to 16");
}

TEST(ini_file, rejects_unknown_fields_duplicate_fields_and_malformed_lines)
{
    const auto unknown = parse_ini("a.ini", "[node]\ncolour = red\n");
    field_reader in(value_of(unknown), value_of(unknown).sections.at(0));
    EXPECT_EQ(in.finish()->line, 2);
    EXPECT_EQ(error_of(parse_ini("a.ini", "[n]\na = 1\na = 2\n")).line, 3);
    EXPECT_EQ(error_of(parse_ini("a.ini", "[n]\nwords only\n")).line, 2);
    EXPECT_EQ(error_of(parse_ini("a.ini", "[n]\na = " + std::string(500, 'x'))).line, 2);
}
