#include "message_framing.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace jasminebank {

namespace {

// Lines end with CR LF.
constexpr std::size_t line_end_bytes = 2;
constexpr int first_status = 100;
constexpr int first_final_status = 200;
constexpr int last_status = 599;
constexpr int switching_protocols_status = 101;
constexpr int no_content_status = 204;
constexpr int not_modified_status = 304;
constexpr int hexadecimal = 16;

bool is_token_char(char c)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
           symbols.find(c) != std::string_view::npos;
}

bool equals_ignoring_case(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

std::string_view without_blanks(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const std::size_t begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

// Nothing unless the whole text is a number without sign or prefix.
std::optional<std::uint64_t> parse_number(std::string_view text, int base = 10)
{
    std::uint64_t out = 0;
    const char* last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, out, base);
    return ec == std::errc{} && end == last ? std::optional(out) : std::nullopt;
}

// The status of "HTTP/1.1 200 OK"; nothing if the line is no status line.
std::optional<int> parse_status(std::string_view line)
{
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::size_t status_at = 9; // after the version and a blank
    constexpr std::size_t status_digits = 3;
    const bool has_form =
        line.starts_with(version) && line.size() >= status_at + status_digits &&
        line[status_at - 1] == ' ' &&
        (line.size() == status_at + status_digits || line[status_at + status_digits] == ' ');
    if (!has_form)
        return std::nullopt;
    const auto out = parse_number(line.substr(status_at, status_digits));
    return out ? std::optional(static_cast<int>(*out)) : std::nullopt;
}

bool status_has_body(int status)
{
    return status >= first_final_status && status != no_content_status &&
           status != not_modified_status;
}

} // namespace

bool answer_has_body(std::string_view method, int status)
{
    return method != "HEAD" && status_has_body(status);
}

bool message_framing::read(std::string_view bytes)
{
    while (!bytes.empty() && !is_whole() && !is_malformed()) {
        if (state_ == state::body_until_close)
            return true;
        if (state_ == state::counted_body || state_ == state::chunk_data) {
            const std::size_t n = std::min<std::uint64_t>(bytes.size(), bytes_left_);
            bytes.remove_prefix(n);
            bytes_left_ -= n;
            if (bytes_left_ == 0)
                state_ = state_ == state::counted_body ? state::whole : state::chunk_end;
            continue;
        }
        read_line_byte(bytes.front());
        bytes.remove_prefix(1);
    }
    return !is_malformed();
}

void message_framing::end_of_input()
{
    if (state_ == state::body_until_close)
        state_ = state::whole;
}

// A line feed ends the line, and must follow a carriage return; neither may stand alone.
void message_framing::read_line_byte(char c)
{
    const bool follows_return = !line_.empty() && line_.back() == '\r';
    if (follows_return != (c == '\n') || c == '\0') {
        state_ = state::malformed;
        return;
    }
    line_ += c;
    if (c != '\n')
        return;
    line_.resize(line_.size() - line_end_bytes);
    read_line();
    line_.clear();
}

void message_framing::read_line()
{
    switch (state_) {
    case state::first_line:
        read_first_line();
        return;
    case state::chunk_size:
        read_chunk_size();
        return;
    case state::chunk_end:
        state_ = line_.empty() ? state::chunk_size : state::malformed;
        return;
    case state::trailer:
        if (line_.empty())
            state_ = state::whole;
        return;
    default:
        break;
    }
    if (line_.empty()) {
        end_head();
        return;
    }
    const std::size_t colon = line_.find(':');
    const std::string_view name = std::string_view(line_).substr(0, colon);
    if (colon == std::string::npos || name.empty() ||
        !std::all_of(name.begin(), name.end(), is_token_char)) {
        state_ = state::malformed;
        return;
    }
    read_field(name, without_blanks(std::string_view(line_).substr(colon + 1)));
}

// The HTTP library parses the request line itself and rejects a malformed one.
void message_framing::read_first_line()
{
    state_ = state::field_line;
    if (kind_ == message_kind::request)
        return;
    const auto status = parse_status(line_);
    status_ = status.value_or(0);
    if (!status || *status < first_status || *status > last_status ||
        *status == switching_protocols_status)
        state_ = state::malformed;
}

// A second length, even an equal one, and a coding other than chunked are malformed: other programs
// may read the message differently.
void message_framing::read_field(std::string_view name, std::string_view value)
{
    if (equals_ignoring_case(name, "Content-Length")) {
        const auto length = parse_number(value);
        if (!length || length_)
            state_ = state::malformed;
        length_ = length;
    }
    else if (equals_ignoring_case(name, "Transfer-Encoding")) {
        if (is_chunked_ || !equals_ignoring_case(value, "chunked"))
            state_ = state::malformed;
        is_chunked_ = true;
    }
}

void message_framing::end_head()
{
    if (length_ && is_chunked_) {
        state_ = state::malformed;
        return;
    }
    const bool is_interim = kind_ != message_kind::request && status_ < first_final_status;
    if (is_interim) {
        *this = message_framing(kind_);
        return;
    }
    const bool is_bodiless = kind_ == message_kind::answer_to_head ||
                             (kind_ == message_kind::answer && !status_has_body(status_));
    bytes_left_ = length_.value_or(0);
    if (!is_bodiless && is_chunked_)
        state_ = state::chunk_size;
    else if (!is_bodiless && bytes_left_ > 0)
        state_ = state::counted_body;
    else if (!is_bodiless && !length_ && kind_ == message_kind::answer)
        state_ = state::body_until_close;
    else
        state_ = state::whole;
}

// Extensions after the size are ignored.
void message_framing::read_chunk_size()
{
    const std::string_view size = std::string_view(line_).substr(0, line_.find(';'));
    const auto n = parse_number(size.substr(0, size.find_last_not_of(" \t") + 1), hexadecimal);
    if (!n) {
        state_ = state::malformed;
        return;
    }
    bytes_left_ = *n;
    state_ = *n == 0 ? state::trailer : state::chunk_data;
}

} // namespace jasminebank
