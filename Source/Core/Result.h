#pragma once

#include "Core/ErrorKind.h"

#include <optional>
#include <utility>

namespace almondscale {

// A value, or the error that occurred instead.
template <typename T> class Result {
public:
    Result(T value)
        : m_value(std::move(value))
    {
    }
    Result(std::error_code error)
        : m_error(error)
    {
    }
    Result(ErrorKind kind)
        : m_error(make_error_code(kind))
    {
    }

    bool ok() const { return m_value.has_value(); }
    explicit operator bool() const { return ok(); }
    const std::error_code& error() const { return m_error; }
    ErrorKind kind() const { return errorKind(m_error); }

    T& value() { return *m_value; }
    const T& value() const { return *m_value; }

private:
    std::optional<T> m_value;
    std::error_code m_error;
};

} // namespace almondscale
