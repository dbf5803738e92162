#pragma once

#include <cxxtools/json.h>
#include <exception>
#include <optional>
#include <sstream>
#include <string>

namespace almondscale {

// Serializes a value to JSON, the format of the table's rows.
template <typename T> std::string encodeRowValue(const T& value)
{
    std::ostringstream out;
    out << cxxtools::Json(value);
    return out.str();
}

// Parses a value from JSON; std::nullopt if the text does not hold such a value.
template <typename T> std::optional<T> decodeRowValue(const std::string& text)
{
    try {
        T value;
        std::istringstream in(text);
        in >> cxxtools::Json(value);
        return value;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace almondscale
