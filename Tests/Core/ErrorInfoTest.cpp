#include "Core/ErrorInfo.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

using namespace almondscale;

TEST_CASE("ErrorInfo, every kind, has a unique name and an error status")
{
    std::set<std::string> names;
    for (int i = 1; i <= static_cast<int>(ErrorKind::Internal); ++i) {
        const auto& info = errorInfo(static_cast<ErrorKind>(i));
        CAPTURE(info.name);
        CHECK(names.insert(info.name).second);
        CHECK(info.httpStatus >= 400);
        CHECK(info.httpStatus < 600);
    }
}

TEST_CASE("ErrorKind, turned into an error code and back, stays the same")
{
    const std::error_code error = ErrorKind::QueueFull;
    CHECK(errorKind(error) == ErrorKind::QueueFull);
    CHECK(errorKind(std::make_error_code(std::errc::io_error)) == ErrorKind::Internal);
    CHECK(errorKind({}) == ErrorKind::None);
}
