#include "command_line.h"

#include <fmt/format.h>
#include <getopt.h>

#include <algorithm>

namespace jasminebank {

static ini_error invalid_option(std::string found)
{
    return {.file = "command line",
            .line = 0,
            .section = "",
            .field = "",
            .found = std::move(found),
            .allowed = "the options that --help lists"};
}

static void add_value(ini_section& out, const std::string& name, const std::string& value)
{
    const auto it = std::find_if(out.fields.begin(), out.fields.end(),
                                 [&](const ini_field& field) { return field.name == name; });
    if (it == out.fields.end())
        out.fields.push_back({.name = name, .value = value, .line = 0});
    else
        it->value += "," + value;
}

result<ini_section, ini_error> parse_command_line(int argc, char** argv,
                                                  std::span<const command_line_option> options,
                                                  std::vector<std::string>* positional)
{
    std::vector<std::string> names;
    for (const command_line_option& it : options)
        names.emplace_back(it.name);
    names.emplace_back("help");
    std::vector<option> longs;
    for (std::size_t n = 0; n < names.size(); ++n) {
        const bool flag = n >= options.size() || options[n].value.empty();
        longs.push_back({names[n].c_str(), flag ? no_argument : required_argument, nullptr, 0});
    }
    longs.push_back({nullptr, 0, nullptr, 0});

    ini_section out{.name = "options", .line = 0, .fields = {}};
    opterr = 0;
    optind = 1;
    int index = 0;
    for (int c = 0; (c = getopt_long(argc, argv, ":", longs.data(), &index)) != -1;) {
        if (c != 0)
            return invalid_option(fmt::format("\"{}\"", argv[std::max(1, optind - 1)]));
        add_value(out, names[static_cast<std::size_t>(index)], optarg == nullptr ? "yes" : optarg);
    }
    if (positional != nullptr)
        positional->assign(argv + optind, argv + argc);
    else if (optind < argc)
        return invalid_option(fmt::format("\"{}\"", argv[optind]));
    return out;
}

std::string help_text(std::string_view usage, std::span<const command_line_option> options)
{
    std::string out = fmt::format("usage: {}\n\n", usage);
    for (const command_line_option& it : options)
        out += fmt::format("  --{:<28} {}\n", fmt::format("{} {}", it.name, it.value), it.meaning);
    return out + fmt::format("  --{:<28} {}\n", "help", "this text");
}

bool wants_help(const ini_section& it)
{
    return std::any_of(it.fields.begin(), it.fields.end(),
                       [](const ini_field& field) { return field.name == "help"; });
}

} // namespace jasminebank
