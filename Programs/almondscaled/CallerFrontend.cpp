#include "CallerFrontend.h"

#include "Http/ErrorResponse.h"
#include "Http/JsonBuilder.h"

namespace almondscale {

namespace {

    const std::string servicesPrefix = "/services/";

    bool startsWith(const std::string& text, const std::string& prefix)
    {
        return text.compare(0, prefix.size(), prefix) == 0;
    }

    HttpResponse stateResponse(int status, const char* state)
    {
        HttpResponse response;
        response.status = status;
        response.body = JsonBuilder().text("state", state).finish();
        return response;
    }

} // namespace

CallerFrontend::CallerFrontend(
    HostContext& context, Incarnation incarnation, Table table, HolderLivenessCheck holderLive)
    : m_context(context)
    , m_completions(context)
    , m_services(context, incarnation, std::move(table), std::move(holderLive))
{
}

bool CallerFrontend::ready() const { return !m_draining && m_context.rules.get() != nullptr; }

void CallerFrontend::serve(const HttpRequest& request, ReplyWriter& reply)
{
    if (request.path == "/healthz")
        return reply.send(stateResponse(200, "alive"));
    if (request.path == "/readyz")
        return reply.send(readiness());
    ++m_running;
    try {
        serveCounted(request, reply);
    } catch (...) {
        --m_running;
        throw;
    }
    --m_running;
}

void CallerFrontend::serveCounted(const HttpRequest& request, ReplyWriter& reply)
{
    if (request.path == "/v1/completions" && request.method == "POST")
        return m_completions.serve(request, false, reply);
    if (request.path == "/v1/chat/completions" && request.method == "POST")
        return m_completions.serve(request, true, reply);
    if (request.path == "/v1/models" && request.method == "GET")
        return reply.send(models());
    if (startsWith(request.path, servicesPrefix))
        return m_services.serve(request, reply);
    reply.send(errorResponse(ErrorKind::NotFound));
}

HttpResponse CallerFrontend::readiness() const
{
    if (m_draining)
        return stateResponse(503, "shutting_down");
    if (!m_context.rules.get())
        return stateResponse(503, "no_rules");
    return stateResponse(200, "ready");
}

HttpResponse CallerFrontend::models() const
{
    const auto rules = m_context.rules.get();
    if (!rules)
        return errorResponse(ErrorKind::NoRules);
    JsonBuilder json;
    json.text("object", "list").beginArray("data");
    for (const ModelRule& model : rules->models) {
        json.beginElement()
            .text("id", model.model.text())
            .text("object", "model")
            .integer("context_tokens", model.contextTokens.count())
            .endObject();
    }
    HttpResponse response;
    response.body = json.endArray().finish();
    return response;
}

} // namespace almondscale
