#include "load_report.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace jasminebank {

namespace {

using json = nlohmann::json;

double to_ms(duration it)
{
    return std::chrono::duration<double, std::milli>(it).count();
}

std::vector<organisation_figures> rows_of(const load_report& it)
{
    std::vector<organisation_figures> out = it.organisations;
    out.push_back(it.total);
    return out;
}

std::string text_of(const load_report& report)
{
    std::string out =
        fmt::format("{:<20} {:>8} {:>8} {:>8} {:>7} {:>7} {:>7} {:>6} {:>9} {:>9} {:>9}\n",
                    "organisation", "sent", "ok", "refused", "failed", "unknown", "broken", "wrong",
                    "p50 ms", "p99 ms", "max ms");
    for (const organisation_figures& it : rows_of(report)) {
        out += fmt::format(
            "{:<20} {:>8} {:>8} {:>8} {:>7} {:>7} {:>7} {:>6} {:>9.2f} {:>9.2f} {:>9.2f}\n",
            it.name, it.sent, it.count(answer_kind::ok), it.count(answer_kind::refused),
            it.count(answer_kind::failed), it.count(answer_kind::unknown),
            it.count(answer_kind::broken), it.count(answer_kind::wrong),
            to_ms(it.latency.quantile(0.5)), to_ms(it.latency.quantile(0.99)),
            to_ms(it.latency.max()));
    }
    for (const reason_count& it : report.total.reasons)
        out += fmt::format("  {:<8} {:<40} {:>8}\n", name_of(it.kind), it.reason, it.count);
    return out + fmt::format("run time {:.1f} s, unsent {}, sent late by at most {:.2f} ms\n",
                             to_ms(report.run_time) / 1000, report.unsent, to_ms(report.worst_lag));
}

double added_ms(const load_comparison& it, double share)
{
    return to_ms(it.run.total.latency.quantile(share)) -
           to_ms(it.direct->total.latency.quantile(share));
}

json json_of(const organisation_figures& it)
{
    json out{{"name", it.name},
             {"sent", it.sent},
             {"p50_ms", to_ms(it.latency.quantile(0.5))},
             {"p99_ms", to_ms(it.latency.quantile(0.99))},
             {"max_ms", to_ms(it.latency.max())},
             {"mean_ms", to_ms(it.latency.mean())}};
    for (std::size_t n = 0; n < answer_kinds; ++n)
        out[std::string(name_of(static_cast<answer_kind>(n)))] = it.counts[n];
    out["reasons"] = json::array();
    for (const reason_count& reason : it.reasons) {
        out["reasons"].push_back(
            {{"kind", name_of(reason.kind)}, {"reason", reason.reason}, {"count", reason.count}});
    }
    return out;
}

std::string text_of(const run_violations& it)
{
    std::string out =
        fmt::format("against the accounts: refused but run {}, run twice {}, whole but not run "
                    "{}, foreign {}{}\n",
                    it.refused_but_run, it.run_twice, it.whole_but_not_run, it.foreign,
                    it.complete ? "" : " (accounts are not complete)");
    for (const std::string& example : it.examples)
        out += "  " + example + "\n";
    return out;
}

json json_of(const run_violations& it)
{
    return {{"refused_but_run", it.refused_but_run},
            {"run_twice", it.run_twice},
            {"whole_but_not_run", it.whole_but_not_run},
            {"foreign", it.foreign},
            {"examples", it.examples},
            {"complete", it.complete}};
}

json json_of(const load_report& it)
{
    json out{{"total", json_of(it.total)},
             {"run_time_ms", to_ms(it.run_time)},
             {"unsent", it.unsent},
             {"worst_lag_ms", to_ms(it.worst_lag)}};
    out["organisations"] = json::array();
    for (const organisation_figures& organisation : it.organisations)
        out["organisations"].push_back(json_of(organisation));
    return out;
}

std::string escaped(std::string_view text)
{
    std::string out;
    for (char c : text) {
        switch (c) {
        case '&':
            out += "&amp;";
            break;
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

// Draws the latency histogram, with one bar per tenth of a decade, labelled with its lower bound.
std::string svg_of(const organisation_figures& it)
{
    constexpr int bar_width = 26;
    constexpr int height = 120;
    constexpr int label_height = 34;
    const std::vector<histogram_bar> bars = it.latency.bars();
    std::uint64_t highest = 1;
    for (const histogram_bar& bar : bars)
        highest = std::max(highest, bar.count);
    const int width = std::max<int>(bar_width * static_cast<int>(bars.size()), bar_width);
    std::string out = fmt::format("<svg width=\"{}\" height=\"{}\" role=\"img\">", width + 1,
                                  height + label_height);
    for (std::size_t n = 0; n < bars.size(); ++n) {
        const int x = bar_width * static_cast<int>(n);
        const int h = static_cast<int>(bars[n].count * height / highest);
        out += fmt::format(
            "<rect x=\"{}\" y=\"{}\" width=\"{}\" height=\"{}\"><title>{:.3g} to {:.3g} "
            "ms: {}</title></rect>",
            x + 1, height - h, bar_width - 2, h, to_ms(bars[n].from), to_ms(bars[n].to),
            bars[n].count);
        out += fmt::format("<text x=\"{}\" y=\"{}\" transform=\"rotate(60 {} {})\">{:.3g}</text>",
                           x + 4, height + 8, x + 4, height + 8, to_ms(bars[n].from));
    }
    return out + "</svg>";
}

std::string table_row(const organisation_figures& it)
{
    std::string out = fmt::format("<tr><th>{}</th><td>{}</td>", escaped(it.name), it.sent);
    for (std::uint64_t n : it.counts)
        out += fmt::format("<td>{}</td>", n);
    return out + fmt::format("<td>{:.2f}</td><td>{:.2f}</td><td>{:.2f}</td></tr>\n",
                             to_ms(it.latency.quantile(0.5)), to_ms(it.latency.quantile(0.99)),
                             to_ms(it.latency.max()));
}

std::string html_of(std::string_view title, const load_report& report)
{
    std::string out =
        fmt::format("<h2>{}</h2>\n<table><tr><th>organisation</th><th>sent</th>", title);
    for (std::size_t n = 0; n < answer_kinds; ++n)
        out += fmt::format("<th>{}</th>", name_of(static_cast<answer_kind>(n)));
    out += "<th>p50 ms</th><th>p99 ms</th><th>max ms</th></tr>\n";
    for (const organisation_figures& it : rows_of(report))
        out += table_row(it);
    out += "</table>\n<table><tr><th>kind</th><th>reason</th><th>count</th></tr>\n";
    for (const reason_count& it : report.total.reasons) {
        out += fmt::format("<tr><td>{}</td><td>{}</td><td>{}</td></tr>\n", name_of(it.kind),
                           escaped(it.reason), it.count);
    }
    out += "</table>\n<p>Latency of whole answers from the scheduled time, in ms, log scale.</p>\n";
    for (const organisation_figures& it : rows_of(report))
        out += fmt::format("<h3>{}</h3>\n{}\n", escaped(it.name), svg_of(it));
    return out;
}

} // namespace

std::string text_report(const load_comparison& it)
{
    std::string out = text_of(it.run);
    if (it.violations)
        out += text_of(*it.violations);
    if (!it.direct)
        return out;
    out += "\ndirect call\n" + text_of(*it.direct);
    return out + fmt::format("\nadded by the nodes: p50 {:+.2f} ms, p99 {:+.2f} ms\n",
                             added_ms(it, 0.5), added_ms(it, 0.99));
}

std::string json_report(const load_comparison& it)
{
    json out = json_of(it.run);
    if (it.violations)
        out["violations"] = json_of(*it.violations);
    if (it.direct) {
        out["direct"] = json_of(*it.direct);
        out["added_ms"] = {{"p50", added_ms(it, 0.5)}, {"p99", added_ms(it, 0.99)}};
    }
    return out.dump(2) + "\n";
}

std::string html_report(const load_comparison& it)
{
    std::string out =
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Load run</title>\n"
        "<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse;margin:1em 0}"
        "td,th{border:1px solid #bbb;padding:2px 8px;text-align:right}rect{fill:#47a}"
        "svg text{font-size:10px}</style></head><body>\n<h1>Load run</h1>\n";
    out += html_of(it.direct ? "Through the nodes" : "Figures", it.run);
    if (it.violations)
        out += "<pre>" + escaped(text_of(*it.violations)) + "</pre>\n";
    if (it.direct) {
        out += html_of("Direct call", *it.direct);
        out += fmt::format("<p>Added by the nodes: p50 {:+.2f} ms, p99 {:+.2f} ms.</p>\n",
                           added_ms(it, 0.5), added_ms(it, 0.99));
    }
    return out + "</body></html>\n";
}

} // namespace jasminebank
