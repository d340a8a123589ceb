#include "ini_file.h"

#include <fmt/format.h>
#include <ini.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <fstream>
#include <sstream>
#include <unordered_map>

namespace jasminebank {

// inih reads lines into a buffer of 200 bytes and would silently split longer ones.
constexpr std::size_t max_line_bytes = 190;

std::string describe(const ini_error& it)
{
    std::string out = it.file;
    if (it.line > 0)
        out += fmt::format(":{}", it.line);
    if (!it.section.empty())
        out += fmt::format(": [{}]", it.section);
    if (!it.field.empty())
        out += fmt::format(" {}", it.field);
    return out + fmt::format(": found {}, allowed: {}", it.found, it.allowed);
}

namespace {

// Passes the text to inih line by line and counts the lines, since inih's callback gets no number.
struct line_source {
    std::string_view rest;
    int line = 0;
    int too_long_line = 0;
    ini_file* out = nullptr;
    std::unordered_map<std::string, std::size_t> section_indexes; // by name, into `out`
};

std::size_t section_index(line_source& source, const std::string& name)
{
    auto& sections = source.out->sections;
    const auto [it, fresh] = source.section_indexes.emplace(name, sections.size());
    if (fresh)
        sections.push_back({.name = name, .line = source.line, .fields = {}});
    return it->second;
}

// Adds the section of a heading line. inih does not report headings without fields below them.
void add_heading(line_source& source, std::string_view line)
{
    const std::size_t end = line.find(']');
    if (line.starts_with('[') && end != std::string_view::npos)
        section_index(source, std::string(line.substr(1, end - 1)));
}

char* next_line(char* buf, int size, void* stream)
{
    auto& source = *static_cast<line_source*>(stream);
    if (source.rest.empty())
        return nullptr;
    const std::size_t end = std::min(source.rest.find('\n'), source.rest.size() - 1);
    std::string_view line = source.rest.substr(0, end + 1);
    source.rest.remove_prefix(end + 1);
    ++source.line;
    if (line.size() > max_line_bytes && source.too_long_line == 0)
        source.too_long_line = source.line;
    add_heading(source, line);
    const std::size_t n = std::min(line.size(), static_cast<std::size_t>(size) - 1);
    std::memcpy(buf, line.data(), n);
    buf[n] = '\0';
    return buf;
}

int add_field(void* user, const char* section, const char* name, const char* value)
{
    auto& source = *static_cast<line_source*>(user);
    ini_section& place = source.out->sections[section_index(source, section)];
    place.fields.push_back({.name = name, .value = value, .line = source.line});
    return 1;
}

} // namespace

// Parses the text with inih and then checks for duplicate fields, which inih accepts.
result<ini_file, ini_error> parse_ini(const std::string& name, std::string_view text)
{
    ini_file out{.name = name, .sections = {}};
    line_source source{.rest = text, .out = &out, .section_indexes = {}};
    const int bad_line = ini_parse_stream(next_line, &source, add_field, &source);
    if (source.too_long_line > 0)
        return ini_error{name, source.too_long_line, "",
                         "",   "a longer line",      "at most 190 bytes per line"};
    if (bad_line != 0)
        return ini_error{name, bad_line,           "",
                         "",   "a malformed line", "[section], name = value, ; comment text"};
    for (const ini_section& section : out.sections) {
        for (auto it = section.fields.begin(); it != section.fields.end(); ++it) {
            const bool twice = std::any_of(section.fields.begin(), it, [&](const ini_field& other) {
                return other.name == it->name;
            });
            if (twice)
                return ini_error{
                    name, it->line, section.name, it->name, "a duplicate field", "each field once"};
        }
    }
    return out;
}

result<ini_file, ini_error> load_ini(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    if (in)
        text << in.rdbuf();
    if (!in || !text)
        return ini_error{path, 0, "", "", "no readable file", "a readable file"};
    return parse_ini(path, text.str());
}

field_reader::field_reader(const ini_file& file, const ini_section& section)
    : file_(file), section_(section)
{
}

const ini_field* field_reader::find(std::string_view name)
{
    known_fields_.emplace_back(name);
    for (const ini_field& it : section_.fields) {
        if (it.name == name)
            return &it;
    }
    return nullptr;
}

endpoint field_reader::address(std::string_view name, std::string_view fallback)
{
    const auto out = parse_endpoint(text(name, fallback));
    if (!out)
        reject(name, "an IPv4 address and port, as 127.0.0.1:8080");
    return out.value_or(endpoint{});
}

std::vector<endpoint> field_reader::addresses(std::string_view name)
{
    std::vector<endpoint> out;
    for (const std::string& it : list(name)) {
        const auto found = parse_endpoint(it);
        if (found)
            out.push_back(*found);
        else
            reject(name, "IPv4 addresses and ports between commas, as 127.0.0.1:8080");
    }
    return out;
}

std::vector<std::string> field_reader::names_with_prefix(std::string_view prefix) const
{
    std::vector<std::string> out;
    const std::string dotted = std::string(prefix) + '.';
    for (const ini_field& it : section_.fields) {
        if (it.name == prefix || it.name.starts_with(dotted))
            out.push_back(it.name);
    }
    return out;
}

bool field_reader::has(std::string_view name) const
{
    return std::any_of(section_.fields.begin(), section_.fields.end(),
                       [&](const ini_field& it) { return it.name == name; });
}

void field_reader::reject(std::string_view name, std::string_view allowed)
{
    if (error_)
        return;
    const ini_field* it = find(name);
    error_ = ini_error{.file = file_.name,
                       .line = it == nullptr ? 0 : it->line,
                       .section = section_.name,
                       .field = std::string(name),
                       .found = it == nullptr ? "nothing" : "\"" + it->value + "\"",
                       .allowed = std::string(allowed)};
}

std::string field_reader::text(std::string_view name, std::string_view fallback)
{
    const ini_field* it = find(name);
    return it == nullptr ? std::string(fallback) : it->value;
}

std::string field_reader::required_text(std::string_view name)
{
    const ini_field* it = find(name);
    if (it != nullptr && !it->value.empty())
        return it->value;
    reject(name, "a value");
    return {};
}

// The entire text must be one number; from_chars alone would accept trailing characters.
template <class Number>
static std::optional<Number> parse_whole(std::string_view text)
{
    Number out{};
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (ec != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return out;
}

std::uint64_t field_reader::number(std::string_view name, std::uint64_t fallback, std::uint64_t low,
                                   std::uint64_t high)
{
    const ini_field* it = find(name);
    if (it == nullptr)
        return fallback;
    const auto out = parse_whole<std::uint64_t>(it->value);
    if (out && *out >= low && *out <= high)
        return *out;
    reject(name, fmt::format("a whole number from {} to {}", low, high));
    return fallback;
}

double field_reader::decimal(std::string_view name, double fallback, double low, double high)
{
    const ini_field* it = find(name);
    if (it == nullptr)
        return fallback;
    const auto out = parse_whole<double>(it->value);
    if (out && *out >= low && *out <= high)
        return *out;
    reject(name, fmt::format("a number from {} to {}", low, high));
    return fallback;
}

static std::optional<duration> parse_time(std::string_view text)
{
    constexpr double max_minutes = 1e6; // keeps the result far within the range of duration
    const std::size_t split = std::min(text.find_first_not_of("0123456789."), text.size());
    const auto n = parse_whole<double>(text.substr(0, split));
    const std::string_view unit = text.substr(split);
    if (!n || *n > max_minutes)
        return std::nullopt;
    using std::chrono::duration_cast;
    if (unit == "ms")
        return duration_cast<duration>(std::chrono::duration<double, std::milli>(*n));
    if (unit == "s")
        return duration_cast<duration>(std::chrono::duration<double>(*n));
    if (unit == "min")
        return duration_cast<duration>(std::chrono::duration<double, std::ratio<60>>(*n));
    return std::nullopt;
}

duration field_reader::time(std::string_view name, duration fallback, duration low, duration high)
{
    const ini_field* it = find(name);
    if (it == nullptr)
        return fallback;
    const auto out = parse_time(it->value);
    if (out && *out >= low && *out <= high)
        return *out;
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    reject(name, fmt::format("a time from {}ms to {}ms, as 250ms, 2s or 3min",
                             duration_cast<milliseconds>(low).count(),
                             duration_cast<milliseconds>(high).count()));
    return fallback;
}

bool field_reader::flag(std::string_view name, bool fallback)
{
    return one_of(name, fallback ? "yes" : "no", {"yes", "no"}) == "yes";
}

std::string field_reader::one_of(std::string_view name, std::string_view fallback,
                                 const std::vector<std::string_view>& allowed)
{
    const ini_field* it = find(name);
    if (it == nullptr)
        return std::string(fallback);
    if (std::find(allowed.begin(), allowed.end(), it->value) != allowed.end())
        return it->value;
    reject(name, fmt::format("{}", fmt::join(allowed, " or ")));
    return std::string(fallback);
}

std::vector<std::string> field_reader::list(std::string_view name)
{
    std::vector<std::string> out;
    const ini_field* it = find(name);
    if (it == nullptr || it->value.empty())
        return out;
    std::istringstream parts(it->value);
    for (std::string part; std::getline(parts, part, ',');) {
        const std::size_t first = part.find_first_not_of(" \t");
        if (first == std::string::npos) {
            reject(name, "values between commas");
            return {};
        }
        out.push_back(part.substr(first, part.find_last_not_of(" \t") - first + 1));
    }
    return out;
}

std::optional<ini_error> field_reader::finish() const
{
    if (error_)
        return error_;
    for (const ini_field& it : section_.fields) {
        if (std::find(known_fields_.begin(), known_fields_.end(), it.name) == known_fields_.end()) {
            return ini_error{file_.name,           it.line,
                             section_.name,        it.name,
                             "an unknown setting", "only the settings of the manual"};
        }
    }
    return std::nullopt;
}

const ini_section* find_section(const ini_file& file, std::string_view name)
{
    for (const ini_section& it : file.sections) {
        if (it.name == name)
            return &it;
    }
    return nullptr;
}

} // namespace jasminebank
