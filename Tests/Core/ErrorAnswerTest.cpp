#include "Core/ErrorAnswer.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

using namespace almondscale;

TEST_CASE("ErrorAnswer, every kind, has a word of its own and an error status")
{
    std::set<std::string> words;
    for (int i = 1; i <= static_cast<int>(ErrorKind::Internal); ++i) {
        const auto& answer = errorAnswer(static_cast<ErrorKind>(i));
        CAPTURE(answer.word);
        CHECK(words.insert(answer.word).second);
        CHECK(answer.httpStatus >= 400);
        CHECK(answer.httpStatus < 600);
    }
}

TEST_CASE("ErrorKind, turned into an error code and back, stays the same")
{
    const std::error_code error = ErrorKind::QueueFull;
    CHECK(errorKind(error) == ErrorKind::QueueFull);
    CHECK(errorKind(std::make_error_code(std::errc::io_error)) == ErrorKind::Internal);
    CHECK(errorKind({}) == ErrorKind::None);
}
