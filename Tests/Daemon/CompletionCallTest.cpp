#include "CompletionCall.h"

#include <catch2/catch.hpp>

using namespace almondscale;

namespace {

const MonotonicTime now { std::chrono::seconds(100) };

Result<CompletionCall> parse(
    const std::string& body, bool chat = false, const std::map<std::string, std::string>& headers = {})
{
    HttpRequest request;
    request.method = "POST";
    request.body = body;
    request.headers = headers;
    return parseCompletionCall(request, chat, now, std::chrono::seconds(30));
}

} // namespace

TEST_CASE("CompletionCall, whole request, is read with its headers")
{
    const auto call = parse(R"({"model":"m","prompt":"two  words","max_tokens":5,"stream":true})", false,
        { { "x-deadline-ms", "250" }, { "x-priority", "3" }, { "x-organisation", "nigam" } });
    REQUIRE(call.ok());
    CHECK(call.value().promptTokens == TokenCount(2));
    CHECK(call.value().maxTokens == TokenCount(5));
    CHECK(call.value().streamed);
    CHECK(call.value().deadline == Deadline(now + std::chrono::milliseconds(250)));
    CHECK(call.value().priority == Priority(3));
    CHECK(call.value().organisation == Organisation("nigam"));
}

TEST_CASE("CompletionCall, malformed body, is a bad request")
{
    for (const char* body : { "", "{bad", "[]", "7", R"({"model":"m"})", R"({"prompt":"p"})",
             R"({"model":1,"prompt":"p"})", R"({"model":"m","prompt":["p"]})",
             R"({"model":"m","prompt":"p","max_tokens":0})", R"({"model":"m","prompt":"p","max_tokens":-1})",
             R"({"model":"m","prompt":"p","max_tokens":99999999})" }) {
        CAPTURE(body);
        CHECK(parse(body).kind() == ErrorKind::BadRequest);
    }
}

TEST_CASE("CompletionCall, malformed header, is a bad request and not the default")
{
    const std::string body = R"({"model":"m","prompt":"p"})";
    for (const auto& header : std::vector<std::pair<std::string, std::string>> { { "x-deadline-ms", "soon" },
             { "x-deadline-ms", "-5" }, { "x-deadline-ms", "12x" }, { "x-priority", "1000" },
             { "x-organisation", std::string(200, 'o') } }) {
        CAPTURE(header.first, header.second);
        CHECK(parse(body, false, { { header.first, header.second } }).kind() == ErrorKind::BadRequest);
    }
}

TEST_CASE("CompletionCall, chat without messages or with an empty one, is a bad request")
{
    for (const char* body : { R"({"model":"m"})", R"({"model":"m","messages":[]})",
             R"({"model":"m","messages":"hello"})", R"({"model":"m","messages":[{"role":"user"}]})" }) {
        CAPTURE(body);
        CHECK(parse(body, true).kind() == ErrorKind::BadRequest);
    }
    CHECK(parse(R"({"model":"m","messages":[{"role":"user","content":"hello"}]})", true).ok());
}
