#include "Core/ErrorKind.h"

#include "Core/ErrorInfo.h"

#include <string>

namespace almondscale {

namespace {

    class Category : public std::error_category {
    public:
        const char* name() const noexcept override { return "almondscale"; }

        std::string message(int value) const override
        {
            return errorInfo(static_cast<ErrorKind>(value)).message;
        }
    };

    const Category& category()
    {
        static const Category instance;
        return instance;
    }

} // namespace

std::error_code make_error_code(ErrorKind kind) { return { static_cast<int>(kind), category() }; }

ErrorKind errorKind(const std::error_code& error)
{
    if (!error)
        return ErrorKind::None;
    if (error.category() != category())
        return ErrorKind::Internal;
    return static_cast<ErrorKind>(error.value());
}

const char* errorName(ErrorKind kind) { return errorInfo(kind).name; }

} // namespace almondscale
