#include "config_document.h"

#include "digest.h"
#include "foreign_document.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace jasminebank {

constexpr std::size_t document_name_digits = 32;
constexpr std::string_view organisation_prefix = "organisation ";

std::string document_name(std::string_view text)
{
    return to_hex(digest_of(text)).substr(0, document_name_digits);
}

static std::size_t document_index(const ini_section& it)
{
    if (!it.name.starts_with(organisation_prefix))
        return 0;
    return 1 + hash_name(it.name.substr(organisation_prefix.size())) % organisation_buckets;
}

static void append_text(std::string& out, const ini_section& it)
{
    out += fmt::format("[{}]\n", it.name);
    for (const ini_field& field : it.fields)
        out += fmt::format("{} = {}\n", field.name, field.value);
}

config_texts split_documents(const std::vector<ini_section>& sections)
{
    std::vector<const ini_section*> sorted;
    sorted.reserve(sections.size());
    for (const ini_section& it : sections)
        sorted.push_back(&it);
    std::sort(sorted.begin(), sorted.end(),
              [](const auto* a, const auto* b) { return a->name < b->name; });
    config_texts out(document_count);
    for (const ini_section* it : sorted)
        append_text(out[document_index(*it)], *it);
    return out;
}

config_head make_head(const config_texts& texts, std::uint64_t generation, std::string change_id)
{
    config_head out{.generation = generation, .change_id = std::move(change_id), .documents = {}};
    for (const std::string& it : texts)
        out.documents.push_back(document_name(it));
    return out;
}

std::string encode_head(const config_head& head)
{
    const nlohmann::json out{{"generation", head.generation},
                             {"change_id", head.change_id},
                             {"documents", head.documents}};
    return out.dump();
}

std::optional<config_head> decode_head(std::string_view text)
{
    const auto in = parse_json(text);
    try {
        config_head out{.generation = unsigned_from<std::uint64_t>(in.at("generation")),
                        .change_id = in.at("change_id").get<std::string>(),
                        .documents = in.at("documents").get<std::vector<std::string>>()};
        if (out.documents.size() != document_count)
            return std::nullopt;
        return out;
    }
    catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

static std::string document_label(std::size_t n)
{
    return n == 0 ? "common document" : fmt::format("organisations document {}", n);
}

result<std::vector<ini_section>, ini_error> read_sections(const config_texts& texts)
{
    std::vector<ini_section> out;
    for (std::size_t n = 0; n < texts.size(); ++n) {
        auto file = parse_ini(document_label(n), texts[n]);
        if (failed(file))
            return error_of(file);
        auto& sections = value_of(file).sections;
        std::move(sections.begin(), sections.end(), std::back_inserter(out));
    }
    return out;
}

result<std::shared_ptr<const fleet_config>, ini_error> build_generation(const config_head& head,
                                                                        const config_texts& texts)
{
    std::vector<ini_file> files;
    files.reserve(texts.size());
    for (std::size_t n = 0; n < texts.size(); ++n) {
        auto file = parse_ini(document_label(n), texts[n]);
        if (failed(file))
            return error_of(file);
        files.push_back(std::move(value_of(file)));
    }
    auto config = build_fleet_config(files);
    if (failed(config))
        return error_of(config);
    value_of(config).generation = head.generation;
    return std::make_shared<const fleet_config>(std::move(value_of(config)));
}

static auto find_name(std::vector<ini_section>& sections, std::string_view name)
{
    return std::find_if(sections.begin(), sections.end(),
                        [&](const ini_section& it) { return it.name == name; });
}

void put_section(std::vector<ini_section>& sections, const ini_section& it)
{
    const auto place = find_name(sections, it.name);
    if (place == sections.end())
        sections.push_back(it);
    else
        *place = it;
}

result<std::optional<std::uint64_t>, ini_error> extract_base_generation(ini_file& file)
{
    const ini_section* section = find_section(file, base_section);
    if (section == nullptr)
        return std::optional<std::uint64_t>{};
    field_reader in(file, *section);
    const std::uint64_t generation =
        in.number("generation", 0, 0, std::numeric_limits<std::uint64_t>::max());
    if (!in.has("generation"))
        in.reject("generation", "the generation printed by the command show");
    if (const auto wrong = in.finish())
        return *wrong;
    remove_section(file.sections, base_section);
    return std::optional(generation);
}

bool remove_section(std::vector<ini_section>& sections, std::string_view name)
{
    const auto place = find_name(sections, name);
    if (place == sections.end())
        return false;
    sections.erase(place);
    return true;
}

} // namespace jasminebank
