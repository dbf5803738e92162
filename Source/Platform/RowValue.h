#pragma once

#include <cxxtools/json.h>
#include <exception>
#include <optional>
#include <sstream>
#include <string>

namespace almondscale {

// Writes a value as the JSON text that a row of the table holds.
template <typename T> std::string encodeRowValue(const T& value)
{
    std::ostringstream out;
    out << cxxtools::Json(value);
    return out.str();
}

// Reads a value from the text of a row; nothing if the text does not hold one.
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
