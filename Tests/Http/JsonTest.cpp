#include "Http/Json.h"
#include "Http/JsonBuilder.h"

#include <catch2/catch.hpp>

using namespace almondscale;

namespace {

bool isJson(const std::string& text) { return parseJson(text).has_value(); }

} // namespace

TEST_CASE("Json, non-ASCII text, is parsed and serialized unchanged")
{
    const std::string text = "se\xc3\xb1"
                             "al \xe0\xa6\xac\xe0\xa6\xbe\xe0\xa6\x82";
    const auto document = parseJson(JsonBuilder().text("prompt", text).finish());
    REQUIRE(document.has_value());
    CHECK(jsonString(*document, "prompt") == text);
}

TEST_CASE("Json, malformed JSON or invalid UTF-8, is rejected")
{
    for (const char* text : { "", "{bad", "[", "{\"a\":", "nonsense", "{\"a\":\"\xff\"}", "{} trailing" }) {
        CAPTURE(text);
        CHECK_FALSE(isJson(text));
    }
}

TEST_CASE("Json, text nested a million levels deep, is rejected without exhausting the stack")
{
    CHECK_FALSE(isJson(std::string(1000000, '[')));
}

TEST_CASE("Json, member of another type, gives the fallback")
{
    const auto document = parseJson("{\"n\":\"x\",\"s\":1,\"f\":null}");
    REQUIRE(document.has_value());
    CHECK(jsonInteger(*document, "n", 7) == 7);
    CHECK(jsonString(*document, "s", "none") == "none");
    CHECK(jsonFlag(*document, "f", true));
}

TEST_CASE("Json, value that is not an object, has no members")
{
    const auto array = parseJson("[1]");
    REQUIRE(array.has_value());
    CHECK(jsonString(*array, "s", "none") == "none");
}

TEST_CASE("Json, nested deeper than any message, is rejected, since what walks a document recurses")
{
    const std::string deep = std::string(100000, '[') + std::string(100000, ']');
    CHECK_FALSE(parseJson(R"({"state":)" + deep + "}"));
    const std::string flat = R"({"a":"[[[[\"[[[[","b":[[[1]],{"c":[]}]})";
    REQUIRE(parseJson(flat));
    CHECK(serializeJson(*parseJson(flat)) == flat);
}
