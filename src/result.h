#pragma once

// Results that hold either a value or a typed error of one layer.

#include <utility>
#include <variant>

namespace jasminebank {

/// Success without a value.
struct ok {};

template <class Value, class Error>
using result = std::variant<Value, Error>;

template <class Value, class Error>
bool failed(const result<Value, Error>& it)
{
    return it.index() == 1;
}

template <class Value, class Error>
const Value& value_of(const result<Value, Error>& it)
{
    return std::get<0>(it);
}

template <class Value, class Error>
Value& value_of(result<Value, Error>& it)
{
    return std::get<0>(it);
}

template <class Value, class Error>
const Error& error_of(const result<Value, Error>& it)
{
    return std::get<1>(it);
}

} // namespace jasminebank
