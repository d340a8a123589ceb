#include "operator_command.h"

#include "digest.h"

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <optional>

namespace jasminebank {

namespace {

constexpr std::size_t key_random_bytes = 24;
constexpr duration node_timeout = std::chrono::seconds(2);
constexpr int edit_attempts = 5;

using words = std::vector<std::string>;
using sections = std::vector<ini_section>;

command_exit report(const ini_error& it)
{
    fmt::print(stderr, "{}\n", describe(it));
    return command_exit::rejected;
}

command_exit report(const config_store_error& it)
{
    switch (it.kind) {
    case config_store_failure::unreachable:
        fmt::print(stderr, "store unreachable, nothing was written: {}\n", it.detail);
        return command_exit::unreachable;
    case config_store_failure::conflict:
        fmt::print(stderr, "conflict, nothing was written: {}\n", it.detail);
        return command_exit::conflict;
    case config_store_failure::unknown:
        fmt::print(
            stderr,
            "the store's response was lost, the change may be in effect; check with show: {}\n",
            it.detail);
        return command_exit::unknown;
    case config_store_failure::damaged:
        fmt::print(stderr, "the stored configuration is damaged: {}\n", it.detail);
        return command_exit::rejected;
    }
    return command_exit::unreachable;
}

std::string random_hex()
{
    std::array<unsigned char, key_random_bytes> bytes{};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    std::string out;
    for (unsigned char it : bytes)
        out += fmt::format("{:02x}", it);
    return out;
}

// The parsed input files of a command.
struct input_files {
    std::vector<ini_file> files;
    std::vector<std::uint64_t> bases; // generations the files were made from, if stated
};

result<input_files, ini_error> load_files(const words& paths)
{
    input_files out;
    for (const std::string& path : paths) {
        auto file = load_ini(path);
        if (failed(file))
            return error_of(file);
        const auto base = extract_base_generation(value_of(file));
        if (failed(base))
            return error_of(base);
        if (value_of(base))
            out.bases.push_back(*value_of(base));
        out.files.push_back(std::move(value_of(file)));
    }
    return out;
}

sections sections_of(const input_files& input)
{
    sections out;
    for (const ini_file& file : input.files) {
        for (const ini_section& it : file.sections)
            put_section(out, it);
    }
    return out;
}

// Validates the files without the stored configuration, so that errors refer to lines of the files.
command_exit check(const words& files)
{
    const auto input = load_files(files);
    if (failed(input))
        return report(error_of(input));
    const auto config = build_fleet_config(value_of(input).files);
    if (failed(config))
        return report(error_of(config));
    fmt::print("{} services, {} routes, {} organisations, {} keys\n",
               value_of(config).services.size(), value_of(config).routes.size(),
               value_of(config).organisations.size(), value_of(config).keys.size());
    return command_exit::done;
}

// Rejects files made from another generation: applying them would undo the changes since then.
std::optional<config_store_error> check_bases(const std::vector<std::uint64_t>& bases,
                                              std::uint64_t generation)
{
    const auto it = std::find_if(bases.begin(), bases.end(),
                                 [&](std::uint64_t base) { return base != generation; });
    if (it == bases.end())
        return std::nullopt;
    return config_store_error{
        .kind = config_store_failure::conflict,
        .detail = fmt::format("file made from generation {}, stored is {}; "
                              "compare with diff, or set insist (option --insist) to override",
                              *it, generation)};
}

// Reads the configuration, edits and validates it, and writes it with compare-and-swap. Fails if
// one of `bases` differs from the stored generation. `edit` changes the sections or returns an
// error. After a conflict, `edit` is repeated on the new configuration, up to `attempts` attempts
// in total. An edit that overwrites whole sections must have one attempt only, since a repetition
// would undo the other operator's change.
template <class Edit>
command_exit edit_config(const operator_options& options, int attempts,
                         const std::vector<std::uint64_t>& bases, Edit edit)
{
    store_client store({.endpoints = options.store});
    const std::string change_id = random_hex();
    for (int n = 0; n < attempts; ++n) {
        const auto before = read_config(store);
        if (failed(before))
            return report(error_of(before));
        if (const auto wrong = check_bases(bases, value_of(before).head.generation))
            return report(*wrong);
        auto current = read_sections(value_of(before).texts);
        if (failed(current))
            return report(error_of(current));
        if (const std::optional<ini_error> wrong = edit(value_of(current)))
            return report(*wrong);
        const config_texts texts = split_documents(value_of(current));
        const auto built = build_generation(value_of(before).head, texts);
        if (failed(built))
            return report(error_of(built));
        const auto head = change_config(store, value_of(before), texts, change_id);
        if (!failed(head)) {
            fmt::print("generation {}\n", value_of(head).generation);
            return command_exit::done;
        }
        if (error_of(head).kind != config_store_failure::conflict || n + 1 == attempts)
            return report(error_of(head));
    }
    return command_exit::conflict;
}

command_exit apply(const words& files, const operator_options& options)
{
    const auto input = load_files(files);
    if (failed(input))
        return report(error_of(input));
    const auto bases = options.insist ? std::vector<std::uint64_t>{} : value_of(input).bases;
    return edit_config(options, 1, bases, [&](sections& current) -> std::optional<ini_error> {
        if (options.replace)
            current.clear();
        for (const ini_section& it : sections_of(value_of(input)))
            put_section(current, it);
        return std::nullopt;
    });
}

ini_error unknown_section(const std::string& name)
{
    return {.file = "configuration",
            .line = 0,
            .section = name,
            .field = {},
            .found = "no such section",
            .allowed = "a section that show lists"};
}

command_exit remove(const words& names, const operator_options& options)
{
    return edit_config(options, edit_attempts, {},
                       [&](sections& current) -> std::optional<ini_error> {
                           for (const std::string& it : names) {
                               if (!remove_section(current, it))
                                   return unknown_section(it);
                           }
                           return std::nullopt;
                       });
}

ini_section* organisation_section(sections& current, const std::string& organisation)
{
    const auto it = std::find_if(current.begin(), current.end(), [&](const ini_section& section) {
        return section.name == "organisation " + organisation;
    });
    return it == current.end() ? nullptr : &*it;
}

// The key is printed once; only its digest is stored.
command_exit create_key(const std::string& organisation, const std::string& name,
                        const operator_options& options)
{
    const std::string key = random_hex();
    const command_exit out =
        edit_config(options, edit_attempts, {}, [&](sections& current) -> std::optional<ini_error> {
            ini_section* section = organisation_section(current, organisation);
            if (section == nullptr)
                return unknown_section("organisation " + organisation);
            std::erase_if(section->fields,
                          [&](const ini_field& it) { return it.name == "key." + name; });
            section->fields.push_back(
                {.name = "key." + name, .value = to_hex(digest_of(key)), .line = 0});
            return std::nullopt;
        });
    if (out == command_exit::done || out == command_exit::unknown)
        fmt::print("key {}\n", key);
    return out;
}

command_exit revoke_key(const std::string& organisation, const std::string& name,
                        const operator_options& options)
{
    return edit_config(
        options, edit_attempts, {}, [&](sections& current) -> std::optional<ini_error> {
            ini_section* section = organisation_section(current, organisation);
            if (section == nullptr)
                return unknown_section("organisation " + organisation);
            const auto removed = std::erase_if(
                section->fields, [&](const ini_field& it) { return it.name == "key." + name; });
            if (removed == 0)
                return unknown_section("organisation " + organisation + " key." + name);
            return std::nullopt;
        });
}

void print_section(const ini_section& it)
{
    fmt::print("[{}]\n", it.name);
    for (const ini_field& field : it.fields)
        fmt::print("{} = {}\n", field.name, field.value);
}

nlohmann::json to_json(const ini_section& it)
{
    nlohmann::json out = nlohmann::json::object();
    for (const ini_field& field : it.fields)
        out[field.name] = field.value;
    return out;
}

// The configuration in the store.
struct stored_sections {
    std::uint64_t generation = 0;
    sections all;
};

// Prints an error, if any, and returns it as the exit code.
result<stored_sections, command_exit> read_stored(const operator_options& options)
{
    store_client store({.endpoints = options.store});
    const auto stored = read_config(store);
    if (failed(stored))
        return report(error_of(stored));
    auto all = read_sections(value_of(stored).texts);
    if (failed(all))
        return report(error_of(all));
    return stored_sections{.generation = value_of(stored).head.generation,
                           .all = std::move(value_of(all))};
}

command_exit show(const words& names, const operator_options& options)
{
    const auto stored = read_stored(options);
    if (failed(stored))
        return error_of(stored);
    nlohmann::json json{{"generation", value_of(stored).generation},
                        {"sections", nlohmann::json::object()}};
    if (!options.json)
        print_section({.name = std::string(base_section),
                       .line = 0,
                       .fields = {{.name = "generation",
                                   .value = fmt::format("{}", value_of(stored).generation),
                                   .line = 0}}});
    for (const ini_section& it : value_of(stored).all) {
        if (!names.empty() && std::find(names.begin(), names.end(), it.name) == names.end())
            continue;
        if (options.json)
            json["sections"][it.name] = to_json(it);
        else
            print_section(it);
    }
    if (options.json)
        fmt::print("{}\n", json.dump(2));
    return command_exit::done;
}

bool same_fields(const ini_section& a, const ini_section& b)
{
    return std::equal(a.fields.begin(), a.fields.end(), b.fields.begin(), b.fields.end(),
                      [](const ini_field& x, const ini_field& y) {
                          return x.name == y.name && x.value == y.value;
                      });
}

command_exit diff(const words& files, const operator_options& options)
{
    const auto input = load_files(files);
    if (failed(input))
        return report(error_of(input));
    const auto stored = read_stored(options);
    if (failed(stored))
        return error_of(stored);
    for (const ini_section& it : sections_of(value_of(input))) {
        const auto old = std::find_if(value_of(stored).all.begin(), value_of(stored).all.end(),
                                      [&](const ini_section& a) { return a.name == it.name; });
        if (old == value_of(stored).all.end())
            fmt::print("+ [{}]\n", it.name);
        else if (!same_fields(*old, it))
            fmt::print("~ [{}]\n", it.name);
    }
    return command_exit::done;
}

// Requests `path` from the control server of each given node and prints the responses.
command_exit query_nodes(const std::string& path, const operator_options& options)
{
    command_exit out = command_exit::done;
    for (const endpoint& it : options.nodes) {
        httplib::Client client(it.host, it.port);
        client.set_connection_timeout(node_timeout);
        client.set_read_timeout(node_timeout);
        const auto answer = client.Get(path);
        if (answer && answer->status == 200) {
            fmt::print("{}\n", answer->body);
            continue;
        }
        fmt::print(stderr, "{}: {}\n", to_string(it),
                   answer ? answer->body : std::string("no answer"));
        out = command_exit::unreachable;
    }
    return out;
}

command_exit usage()
{
    fmt::print(stderr, "{}", command_help());
    return command_exit::usage;
}

command_exit run_key_command(const words& args, const operator_options& options)
{
    if (args.size() != 3)
        return usage();
    if (args[0] == "give")
        return create_key(args[1], args[2], options);
    if (args[0] == "withdraw")
        return revoke_key(args[1], args[2], options);
    return usage();
}

} // namespace

std::string command_help()
{
    return "commands:\n"
           "  check FILE...                    validate files and report the first thing wrong\n"
           "  apply FILE...                    store their sections; a file written by show\n"
           "                                   is refused after another change\n"
           "  remove SECTION...                remove sections, such as \"route proofs\"\n"
           "  diff FILE...                     list the sections that apply would change\n"
           "  show [SECTION...]                print the stored configuration\n"
           "  key give ORGANISATION NAME       create a key and print it once\n"
           "  key withdraw ORGANISATION NAME   withdraw the key\n"
           "  status                           each node: generation, members, backend servers "
           "and\n"
           "                                   their standing (serving, demoted, held_out, "
           "on_trial)\n"
           "  budget ORGANISATION              each node: the organisation's tokens and counts\n";
}

command_exit run_command(const words& all, const operator_options& options)
{
    if (all.empty())
        return usage();
    const std::string& name = all.front();
    const words args(all.begin() + 1, all.end());
    const bool needs_store = name != "check" && name != "status" && name != "budget";
    if ((needs_store && options.store.empty()) ||
        (!needs_store && name != "check" && options.nodes.empty())) {
        fmt::print(stderr, "{}: --store or --node is missing\n", name);
        return command_exit::usage;
    }
    if (name == "check" && !args.empty())
        return check(args);
    if (name == "apply" && !args.empty())
        return apply(args, options);
    if (name == "remove" && !args.empty())
        return remove(args, options);
    if (name == "diff" && !args.empty())
        return diff(args, options);
    if (name == "show")
        return show(args, options);
    if (name == "key")
        return run_key_command(args, options);
    if (name == "status" && args.empty())
        return query_nodes("/status", options);
    if (name == "budget" && args.size() == 1)
        return query_nodes("/budget?organisation=" + args[0], options);
    return usage();
}

} // namespace jasminebank
