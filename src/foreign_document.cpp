#include "foreign_document.h"

#include <array>
#include <optional>

namespace jasminebank {

using json = nlohmann::json;

namespace {

// Accepts a document without building it, as long as its nesting and its announced sizes are
// within bounds.
class bounds_checker : public nlohmann::json_sax<json> {
public:
    explicit bounds_checker(std::size_t bytes) : bytes_(bytes) {}

    bool null() override { return true; }
    bool boolean(bool /*value*/) override { return true; }
    bool number_integer(number_integer_t /*value*/) override { return true; }
    bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
    bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
    bool string(string_t& /*value*/) override { return true; }
    bool binary(binary_t& /*value*/) override { return true; }
    bool start_object(std::size_t elements) override { return enter(elements); }
    bool key(string_t& /*value*/) override { return true; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t elements) override { return enter(elements); }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const nlohmann::detail::exception& /*error*/) override
    {
        return false;
    }

private:
    // The size is the largest number if it is not announced.
    bool enter(std::size_t elements)
    {
        constexpr auto unknown = std::numeric_limits<std::size_t>::max();
        return ++depth_ <= max_document_depth && (elements == unknown || elements <= bytes_);
    }
    bool leave()
    {
        --depth_;
        return true;
    }

    std::size_t bytes_;
    std::size_t depth_ = 0;
};

// Walks over the items of a CBOR document without recursion. The library reads strings of several
// chunks by recursion, without a call of the checker above. Tags and items of unknown length are
// not accepted: no node sends them.
class cbor_walker {
public:
    explicit cbor_walker(std::string_view bytes) : bytes_(bytes) {}

    bool is_within_bounds()
    {
        std::array<std::uint64_t, max_document_depth> left{1}; // items of each open container
        for (std::size_t depth = 1; depth > 0;) {
            if (left[depth - 1] == 0) {
                --depth;
                continue;
            }
            --left[depth - 1];
            const auto contained = skip_head();
            if (!contained || (*contained > 0 && depth == left.size()))
                return false;
            if (*contained > 0)
                left[depth++] = *contained;
        }
        return bytes_.empty();
    }

private:
    // Of the first byte of an item: its type, and how its size or value is given.
    static constexpr unsigned info_bits = 5;
    static constexpr unsigned info_mask = 31;
    static constexpr unsigned first_long_info =
        24; // the argument is in the 1, 2, 4 or 8 next bytes
    static constexpr unsigned last_long_info = 27;
    enum class item_type : std::uint8_t { bytes = 2, text = 3, array = 4, object = 5, tag = 6 };

    // Removes the item, but not the items that it contains, and returns their number; nothing if it
    // is not accepted.
    std::optional<std::uint64_t> skip_head()
    {
        const auto argument = bytes_.empty() ? std::nullopt : take_argument();
        if (!argument)
            return std::nullopt;
        switch (type_) {
        case item_type::bytes:
        case item_type::text:
            if (*argument > bytes_.size())
                return std::nullopt;
            bytes_.remove_prefix(*argument);
            return 0;
        case item_type::array:
        case item_type::object:
            if (*argument > bytes_.size())
                return std::nullopt;
            return type_ == item_type::array ? *argument : 2 * *argument;
        case item_type::tag:
            return std::nullopt;
        }
        return 0;
    }

    std::optional<std::uint64_t> take_argument()
    {
        const auto first = static_cast<unsigned char>(bytes_.front());
        bytes_.remove_prefix(1);
        type_ = static_cast<item_type>(first >> info_bits);
        const unsigned info = first & info_mask;
        if (info < first_long_info)
            return info;
        const std::size_t size = std::size_t{1} << (info - first_long_info);
        if (info > last_long_info || size > bytes_.size())
            return std::nullopt;
        std::uint64_t out = 0;
        for (const char it : bytes_.substr(0, size))
            out = out << 8U | static_cast<unsigned char>(it);
        bytes_.remove_prefix(size);
        return out;
    }

    std::string_view bytes_;
    item_type type_{};
};

json discarded()
{
    return json(json::value_t::discarded);
}

bool is_within_bounds(std::string_view bytes, json::input_format_t format)
{
    bounds_checker checker(bytes.size());
    return json::sax_parse(bytes.begin(), bytes.end(), &checker, format);
}

} // namespace

void throw_out_of_range()
{
    constexpr int library_error_id = 501; // of errors without a number of their own
    throw json::other_error::create(library_error_id, "number out of range", nullptr);
}

json parse_json(std::string_view text)
{
    if (!is_within_bounds(text, json::input_format_t::json))
        return discarded();
    return json::parse(text, nullptr, false);
}

json parse_cbor(std::string_view bytes)
{
    if (!cbor_walker(bytes).is_within_bounds())
        return discarded();
    return json::from_cbor(bytes.begin(), bytes.end(), true, false);
}

json parse_msgpack(std::string_view bytes)
{
    if (!is_within_bounds(bytes, json::input_format_t::msgpack))
        return discarded();
    return json::from_msgpack(bytes.begin(), bytes.end(), true, false);
}

} // namespace jasminebank
