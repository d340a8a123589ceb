#pragma once

// Result type that holds either a value or an error of a type specific to the module.

#include <utility>
#include <variant>

namespace jasminebank {

/// The value of a successful result that has no other value.
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
