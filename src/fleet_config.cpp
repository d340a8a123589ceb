#include "fleet_config.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <map>
#include <set>
#include <sstream>

namespace jasminebank {

constexpr std::size_t max_name_bytes = 64;
constexpr std::string_view fleet_heading = "fleet";
constexpr double max_rate = 1e6;  // requests per second
constexpr double max_burst = 1e7; // requests
constexpr std::uint64_t max_floor_slots = 1'000'000;
constexpr duration min_timeout = std::chrono::milliseconds(1);
constexpr duration default_timeout = std::chrono::seconds(10);
constexpr duration max_timeout = std::chrono::minutes(10);
constexpr std::uint64_t max_attempts = 16;
constexpr std::uint64_t lowest_priority = 1000;
constexpr std::uint64_t max_target_weight = 1'000'000;

namespace {

template <class Item>
void sort_by_id(std::vector<Item>& items)
{
    std::sort(items.begin(), items.end(), [](const Item& a, const Item& b) { return a.id < b.id; });
}

// A heading such as "organisation honey" split into its kind and name.
struct heading {
    std::string kind;
    std::string name;
};

heading split_heading(const std::string& text)
{
    const std::size_t blank = text.find(' ');
    if (blank == std::string::npos)
        return {.kind = text, .name = {}};
    return {.kind = text.substr(0, blank), .name = text.substr(blank + 1)};
}

bool is_name(std::string_view text)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
               c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= max_name_bytes &&
           std::all_of(text.begin(), text.end(), allowed);
}

// Builds a fleet_config from parsed files and keeps the first error.
class config_builder {
public:
    explicit config_builder(const std::vector<ini_file>& files) : files_(files) {}

    result<fleet_config, ini_error> build()
    {
        collect_templates();
        read_fleet();
        for_each_section("service", [this](field_reader& in, const std::string& name) {
            add_service(in, name);
        });
        for_each_section("organisation", [this](field_reader& in, const std::string& name) {
            add_organisation(in, name);
        });
        sort_by_id(out_.services);
        sort_by_id(out_.organisations);
        for_each_section(
            "route", [this](field_reader& in, const std::string& name) { add_route(in, name); });
        if (!error_)
            index_keys();
        if (error_)
            return *error_;
        return std::move(out_);
    }

private:
    void fail(const ini_file& file, const ini_section& section, std::string found,
              std::string allowed)
    {
        if (!error_) {
            error_ = ini_error{.file = file.name,
                               .line = section.line,
                               .section = section.name,
                               .field = {},
                               .found = std::move(found),
                               .allowed = std::move(allowed)};
        }
    }

    // Indexes every "[KIND-template NAME]" and rejects headings of an unknown kind or invalid name.
    void collect_templates()
    {
        static constexpr std::array<std::string_view, 3> kinds{"service", "organisation", "route"};
        for (const ini_file& file : files_) {
            for (const ini_section& section : file.sections) {
                const heading it = split_heading(section.name);
                const bool is_template = it.kind.ends_with("-template");
                const std::string kind =
                    is_template ? it.kind.substr(0, it.kind.rfind('-')) : it.kind;
                if (section.name == fleet_heading)
                    continue;
                if (std::find(kinds.begin(), kinds.end(), kind) == kinds.end() ||
                    !is_name(it.name)) {
                    fail(file, section, "an unknown kind or an invalid name",
                         "[fleet], [service NAME], [organisation NAME], [route NAME], or the last "
                         "three "
                         "with -template; a name has letters, digits, '-', '_', '.'");
                }
                if (is_template && !templates_.emplace(section.name, &section).second)
                    fail(file, section, "a duplicate template", "one template of each name");
            }
        }
    }

    void read_fleet()
    {
        for (const ini_file& file : files_) {
            const ini_section* section = find_section(file, fleet_heading);
            if (section == nullptr)
                continue;
            field_reader in(file, *section);
            out_.failure_domains = in.list("failure_domains");
            std::sort(out_.failure_domains.begin(), out_.failure_domains.end());
            error_ = error_ ? error_ : in.finish();
        }
    }

    // Adds the template's fields to a section that uses it; the section's own fields take
    // precedence.
    ini_section with_template(const ini_file& file, const ini_section& section,
                              const std::string& kind)
    {
        ini_section out = section;
        field_reader in(file, section);
        const std::string name = in.text("template", "");
        if (name.empty())
            return out;
        const auto it = templates_.find(kind + "-template " + name);
        if (it == templates_.end()) {
            in.reject("template", fmt::format("the name of a [{}-template NAME]", kind));
            error_ = error_ ? error_ : in.finish();
            return out;
        }
        for (const ini_field& field : it->second->fields) {
            if (!in.has(field.name))
                out.fields.push_back(field);
        }
        return out;
    }

    template <class Add>
    void for_each_section(const std::string& kind, Add add)
    {
        std::map<std::uint64_t, std::string> seen;
        for (const ini_file& file : files_) {
            for (const ini_section& section : file.sections) {
                const heading it = split_heading(section.name);
                if (it.kind != kind || error_)
                    continue;
                const auto [place, fresh] = seen.emplace(hash_name(it.name), it.name);
                if (!fresh) {
                    fail(file, section, fmt::format("a name with the same id as {}", place->second),
                         "a unique name");
                }
                const ini_section whole = with_template(file, section, kind);
                field_reader in(file, whole);
                in.text("template", "");
                add(in, it.name);
                error_ = error_ ? error_ : in.finish();
            }
        }
    }

    void add_service(field_reader& in, const std::string& name)
    {
        const std::uint64_t floor = in.number("floor_slots", 0, 0, max_floor_slots);
        out_.services.push_back(
            {.id = id_of<service_id>(name),
             .name = name,
             .floor_slots = static_cast<std::uint32_t>(floor),
             .timeout = in.time("timeout", default_timeout, min_timeout, max_timeout),
             .warm_up = in.time("warm_up", {}, {}, max_warm_up),
             .warm_up_rate = in.decimal("warm_up_rate", 0, 0, max_warm_up_rate)});
    }

    // The fields "key" and "key.NAME" hold one digest each, so that a key can be revoked by its
    // name.
    void add_organisation(field_reader& in, const std::string& name)
    {
        organisation_config it{.id = id_of<organisation_id>(name),
                               .name = name,
                               .rate = in.decimal("rate", 0, 0, max_rate),
                               .burst = in.decimal("burst", 0, 0, max_burst),
                               .keys = {}};
        it.regions = read_regions(in);
        if (in.has("priority"))
            it.priority = in.number("priority", 0, 0, lowest_priority);
        for (const char* needed : {"rate", "burst"}) {
            if (!in.has(needed))
                in.reject(needed, "a number, here or in the template");
        }
        for (const std::string& field : in.names_with_prefix("key")) {
            const auto key = digest_from_hex(in.text(field, ""));
            if (key)
                it.keys.push_back(*key);
            else
                in.reject(field, "the SHA-256 of a key, 64 hexadecimal digits");
        }
        out_.organisations.push_back(std::move(it));
    }

    void add_route(field_reader& in, const std::string& name)
    {
        route_config it{
            .id = id_of<route_id>(name),
            .name = name,
            .host = in.text("host", ""),
            .path = in.required_text("path"),
            .service = {},
            .targets = {},
            .methods = in.list("methods"),
            .idempotent = read_idempotency(in),
            .organisations = {},
            .attempts = in.number("attempts", default_attempts, 1, max_attempts),
            .timeout = in.time("timeout", {}, {}, max_timeout),
            .target_latency = in.time("target_latency", {}, {}, max_timeout),
            .priority = static_cast<std::uint32_t>(in.number("priority", 0, 0, lowest_priority)),
            .is_public = in.flag("public", false)};
        if (!it.path.starts_with('/'))
            in.reject("path", "a path that begins with '/'");
        it.regions = read_regions(in);
        read_targets(in, it);
        for (const std::string& organisation : in.list("organisations")) {
            it.organisations.push_back(id_of<organisation_id>(organisation));
            if (find_organisation(out_, it.organisations.back()) == nullptr)
                in.reject("organisations", "names of [organisation NAME], or nothing for all");
        }
        std::sort(it.organisations.begin(), it.organisations.end());
        out_.routes.push_back(std::move(it));
    }

    // Reads the field `regions`: names between blanks or commas.
    std::vector<region_id> read_regions(field_reader& in)
    {
        std::string text = in.text("regions", "");
        std::ranges::replace(text, ',', ' ');
        std::istringstream words(text);
        std::vector<std::string> names;
        for (std::string name; words >> name;)
            names.push_back(name);
        if (names.size() > max_regions || !std::ranges::all_of(names, is_name))
            in.reject("regions", fmt::format("at most {} names between blanks", max_regions));
        return add_regions(out_, names);
    }

    static idempotency read_idempotency(field_reader& in)
    {
        const std::string text = in.one_of("idempotent", "no", {"yes", "no", "never"});
        if (text == "yes")
            return idempotency::always;
        return text == "never" ? idempotency::never : idempotency::by_method;
    }

    // Reads the field `service`: "a", or several services with weights: "a 90, b 10".
    void read_targets(field_reader& in, route_config& out)
    {
        for (const std::string& it : in.list("service")) {
            const heading target = split_heading(it);
            const auto weight =
                target.name.empty() ? 1 : std::strtoul(target.name.c_str(), nullptr, 10);
            out.targets.push_back({.service = id_of<service_id>(target.kind),
                                   .weight = static_cast<std::uint32_t>(weight)});
            if (find_service(out_, out.targets.back().service) == nullptr || weight == 0 ||
                weight > max_target_weight)
                in.reject("service", "the name of a [service NAME], or names with weights from 1 "
                                     "to 1000000: a 90, b 10");
        }
        if (out.targets.empty()) {
            in.required_text("service");
            return;
        }
        out.service = out.targets.front().service;
        if (out.targets.size() == 1)
            out.targets.clear();
    }

    // Rejects a key that two organisations have, which would not identify a request's organisation.
    void index_keys()
    {
        const auto same = index_fleet_config(out_);
        if (!same)
            return;
        const auto& first = out_.organisations[same->organisation];
        error_ =
            ini_error{.file = files_.empty() ? std::string("configuration") : files_.front().name,
                      .section = "organisation " + first.name,
                      .field = "key",
                      .found = "a key that another organisation also has",
                      .allowed = "a key that only this organisation has"};
    }

    const std::vector<ini_file>& files_;
    std::map<std::string, const ini_section*> templates_;
    fleet_config out_;
    std::optional<ini_error> error_;
};

} // namespace

result<fleet_config, ini_error> build_fleet_config(const std::vector<ini_file>& files)
{
    return config_builder(files).build();
}

std::vector<region_id> add_regions(fleet_config& config, const std::vector<std::string>& names)
{
    std::vector<region_id> out;
    for (const std::string& name : names) {
        out.push_back(id_of<region_id>(name));
        config.region_names[out.back()] = name;
    }
    std::ranges::sort(out);
    out.erase(std::unique(out.begin(), out.end()), out.end());
    return out;
}

std::optional<key_entry> index_fleet_config(fleet_config& config)
{
    sort_by_id(config.services);
    sort_by_id(config.organisations);
    std::stable_sort(config.routes.begin(), config.routes.end(),
                     [](const auto& a, const auto& b) { return a.path < b.path; });
    config.keys.clear();
    for (std::uint32_t n = 0; n < config.organisations.size(); ++n) {
        for (const digest& key : config.organisations[n].keys)
            config.keys.push_back({.key = key, .organisation = n});
    }
    std::sort(config.keys.begin(), config.keys.end(),
              [](const key_entry& a, const key_entry& b) { return a.key < b.key; });
    const auto same = std::adjacent_find(
        config.keys.begin(), config.keys.end(), [](const auto& a, const auto& b) {
            return a.key == b.key && a.organisation != b.organisation;
        });
    if (same == config.keys.end())
        return std::nullopt;
    return *same;
}

template <class Item, class Id>
static const Item* find_by_id(const std::vector<Item>& items, Id id)
{
    const auto before = [](const Item& a, Id b) { return a.id < b; };
    const auto it = std::lower_bound(items.begin(), items.end(), id, before);
    return it != items.end() && it->id == id ? &*it : nullptr;
}

const service_config* find_service(const fleet_config& config, service_id id)
{
    return find_by_id(config.services, id);
}

const organisation_config* find_organisation(const fleet_config& config, organisation_id id)
{
    return find_by_id(config.organisations, id);
}

// The binary search compares digests, so its timing reveals nothing about the key itself. The final
// comparison takes constant time in addition.
const organisation_config* find_organisation_by_key(const fleet_config& config, const digest& key)
{
    const auto it = std::lower_bound(config.keys.begin(), config.keys.end(), key,
                                     [](const key_entry& a, const digest& b) { return a.key < b; });
    if (it == config.keys.end() || !same_digest(it->key, key))
        return nullptr;
    return &config.organisations[it->organisation];
}

static bool allows_method(const route_config& route, std::string_view method)
{
    return route.methods.empty() ||
           std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
}

// Looks up the path's prefixes that end at a '/' boundary, longest first: one binary search per
// prefix, independent of how many routes there are.
const route_config* find_route(const fleet_config& config, std::string_view method,
                               std::string_view path, std::string_view host)
{
    const auto before = [](const route_config& a, std::string_view b) { return a.path < b; };
    for (std::size_t n = path.size(); n > 0;) {
        const std::string_view prefix = path.substr(0, n);
        auto it = std::lower_bound(config.routes.begin(), config.routes.end(), prefix, before);
        for (; it != config.routes.end() && it->path == prefix; ++it) {
            if (allows_method(*it, method) && (it->host.empty() || it->host == host))
                return &*it;
        }
        const bool ends_in_slash = prefix.ends_with('/');
        const std::size_t slash = prefix.rfind('/');
        if (slash == std::string_view::npos)
            return nullptr;
        n = ends_in_slash ? slash : slash + 1;
    }
    return nullptr;
}

bool may_use(const route_config& route, organisation_id organisation)
{
    return route.organisations.empty() ||
           std::binary_search(route.organisations.begin(), route.organisations.end(), organisation);
}

bool is_idempotent(const route_config& route, std::string_view method)
{
    static constexpr std::array<std::string_view, 5> safe{"GET", "HEAD", "OPTIONS", "PUT",
                                                          "DELETE"};
    if (route.idempotent != idempotency::by_method)
        return route.idempotent == idempotency::always;
    return std::find(safe.begin(), safe.end(), method) != safe.end();
}

service_id pick_service(const route_config& route, std::uint64_t random)
{
    std::uint64_t sum = 0;
    for (const route_target& it : route.targets)
        sum += it.weight;
    if (sum == 0)
        return route.service;
    std::uint64_t left = random % sum;
    for (const route_target& it : route.targets) {
        if (left < it.weight)
            return it.service;
        left -= it.weight;
    }
    return route.service;
}

} // namespace jasminebank
