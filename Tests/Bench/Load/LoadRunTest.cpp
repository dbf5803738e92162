#include "Load/LoadRun.h"

#include "Http/HttpServer.h"
#include "Http/Json.h"
#include "StandIns/AnswerToken.h"

#include <catch2/catch.hpp>

#include <atomic>

using namespace almondscale;

namespace {

// A host that answers completions itself, rightly or with a wrong token in each Nth answer.
class LoadRunFixture {
protected:
    LoadRunFixture()
        : m_server({ "127.0.0.1", 0 },
            [this](const HttpRequest& request, ReplyWriter& reply) { answer(request, reply); })
    {
        m_options.hosts = { m_server.address() };
        m_options.callsPerSecond = 100;
        m_options.length = std::chrono::milliseconds(300);
        m_options.streams = 10;
        std::string error;
        m_options.mix = *parseMix("completion prompt-words=3..9 max-tokens=1..6", error);
    }

    LoadOptions m_options;
    // Each answer whose number is a multiple of it is wrong; 0 is off.
    int m_wrongEvery = 0;

private:
    void answer(const HttpRequest& request, ReplyWriter& reply)
    {
        HttpResponse response;
        const std::optional<JsonDocument> json = parseJson(request.body);
        if (!json)
            return reply.send(response);
        const std::string prompt = jsonString(*json, "prompt");
        const bool wrong = m_wrongEvery > 0 && ++m_answers % m_wrongEvery == 0;
        response.contentType = "text/event-stream";
        for (std::int64_t i = 0; i < jsonInteger(*json, "max_tokens"); ++i) {
            response.body.append("data: {\"choices\":[{\"text\":\" ");
            response.body.append(standin::answerToken(prompt, static_cast<std::uint64_t>(i)));
            response.body.append(wrong ? "x\"}]}\n\n" : "\"}]}\n\n");
        }
        response.body += "data: [DONE]\n\n";
        reply.send(response);
    }

    std::atomic<int> m_answers { 0 };
    HttpServer m_server;
};

} // namespace

TEST_CASE_METHOD(
    LoadRunFixture, "Load, on a host that answers rightly, finds every answer complete", "[load]")
{
    const LoadResult result = runLoad(m_options);
    CHECK(result.tally.sent() > 0);
    CHECK(result.tally.complete() == result.tally.sent());
}

TEST_CASE_METHOD(LoadRunFixture, "Load, on a host that answers wrongly, counts each wrong answer", "[load]")
{
    m_wrongEvery = 3;
    const LoadResult result = runLoad(m_options);
    CHECK(result.tally.failed() == result.tally.sent() / 3);
    CHECK(result.tally.complete() == result.tally.sent() - result.tally.failed());
}

TEST_CASE_METHOD(LoadRunFixture, "Load, on a host that is not there, counts each call as failed", "[load]")
{
    m_options.hosts = { Address { "127.0.0.1", freePort("127.0.0.1") } };
    const LoadResult result = runLoad(m_options);
    CHECK(result.tally.sent() > 0);
    CHECK(result.tally.failed() == result.tally.sent());
}
