#include "OperatorFrontend.h"

#include "Core/ErrorInfo.h"
#include "Core/LogEvent.h"
#include "Http/ErrorResponse.h"
#include "Http/Json.h"
#include "Http/JsonBuilder.h"
#include "Rules/RulesParser.h"

#include <algorithm>
#include <openssl/crypto.h>

namespace almondscale {

namespace {

    constexpr std::size_t historyLimit = 20;
    const std::string peerPrefix = "/peer/";

    // Compares in a time that does not tell how much of the key was right.
    bool isAnyOf(const std::string& given, const std::vector<std::string>& keys)
    {
        return std::any_of(keys.begin(), keys.end(), [&](const std::string& key) {
            return !key.empty() && key.size() == given.size()
                && CRYPTO_memcmp(key.data(), given.data(), key.size()) == 0;
        });
    }

    HttpResponse json(std::string body, int status = 200)
    {
        HttpResponse response;
        response.status = status;
        response.body = std::move(body);
        return response;
    }

    void addErrors(JsonBuilder& builder, const std::vector<RuleError>& errors)
    {
        builder.beginArray("errors");
        for (const RuleError& error : errors)
            builder.beginElement().integer("line", error.line).text("text", error.text).endObject();
        builder.endArray();
    }

    std::string clashJson(const RulesClash& clash)
    {
        JsonBuilder builder;
        builder.integer("base_line", clash.baseLine)
            .integer("winner_line", clash.winnerLine)
            .integer("your_line", clash.proposedLine);
        builder.beginArray("winner_lines");
        for (const std::string& line : clash.winnerLines)
            builder.element(line);
        builder.endArray().beginArray("your_lines");
        for (const std::string& line : clash.proposedLines)
            builder.element(line);
        return builder.endArray().finish();
    }

    int applyStatus(RulesApplyOutcome outcome)
    {
        switch (outcome) {
        case RulesApplyOutcome::Applied:
        case RulesApplyOutcome::Merged:
        case RulesApplyOutcome::Unchanged:
            return 200;
        case RulesApplyOutcome::Clash:
        case RulesApplyOutcome::UnknownBase:
            return errorInfo(ErrorKind::VersionConflict).httpStatus;
        case RulesApplyOutcome::Invalid:
            return errorInfo(ErrorKind::RulesInvalid).httpStatus;
        case RulesApplyOutcome::NotApplied:
            return errorInfo(ErrorKind::PlatformUnavailable).httpStatus;
        case RulesApplyOutcome::Unknown:
            break;
        }
        return errorInfo(ErrorKind::PlatformOutcomeUnknown).httpStatus;
    }

    std::string applyJson(const RulesApplyResult& result)
    {
        JsonBuilder builder;
        builder.text("outcome", rulesApplyOutcomeName(result.outcome));
        builder.integer("version", static_cast<std::int64_t>(result.version.count()));
        if (result.winner) {
            builder.beginObject("winner")
                .integer("version", static_cast<std::int64_t>(result.winner->version.count()))
                .text("change", result.winner->change.text())
                .text("author", result.winner->author)
                .endObject();
        }
        builder.beginArray("clashes");
        for (const RulesClash& clash : result.clashes)
            builder.rawElement(clashJson(clash));
        builder.endArray();
        addErrors(builder, result.errors);
        return builder.finish();
    }

} // namespace

OperatorFrontend::OperatorFrontend(OperatorHooks hooks, Keys operatorKeys, Keys peerKeys)
    : m_hooks(std::move(hooks))
    , m_operatorKeys(std::move(operatorKeys))
    , m_peerKeys(std::move(peerKeys))
{
}

void OperatorFrontend::serve(const HttpRequest& request, ReplyWriter& reply) { reply.send(answer(request)); }

HttpResponse OperatorFrontend::answer(const HttpRequest& request)
{
    if (request.path == "/healthz")
        return json(JsonBuilder().text("state", "alive").finish());
    if (request.path == "/metrics") {
        HttpResponse response = json(m_hooks.metrics());
        response.contentType = "text/plain; version=0.0.4";
        return response;
    }
    if (request.path.compare(0, peerPrefix.size(), peerPrefix) == 0)
        return answerPeer(request);
    if (!isAnyOf(request.header("x-operator-key"), m_operatorKeys())) {
        LogEvent("operator_refused", LogLevel::Warning).with("peer", request.peer).with("path", request.path);
        return errorResponse(ErrorKind::Unauthorised);
    }
    if (request.path == "/rules/check" && request.method == "POST")
        return checkRules(request);
    if (request.path == "/rules/apply" && request.method == "POST")
        return applyRules(request);
    if (request.path == "/rules")
        return showRules();
    if (request.path == "/rules/history")
        return historyOfRules(request);
    if (request.path == "/engines/order" && request.method == "POST")
        return orderEngine(request);
    if (request.path == "/shutdown" && request.method == "POST") {
        m_hooks.shutDown();
        return json(JsonBuilder().text("state", "shutting_down").finish(), 202);
    }
    const auto view = m_hooks.views.find(request.path);
    if (view == m_hooks.views.end())
        return errorResponse(ErrorKind::NotFound);
    return view->second(request);
}

HttpResponse OperatorFrontend::answerPeer(const HttpRequest& request) const
{
    if (!isAnyOf(request.header("x-peer-key"), m_peerKeys()))
        return errorResponse(ErrorKind::Unauthorised);
    const auto call = m_hooks.peerCalls.find(request.path);
    if (call == m_hooks.peerCalls.end())
        return errorResponse(ErrorKind::NotFound);
    auto answer = call->second(request.body);
    return answer ? json(std::move(*answer)) : errorResponse(ErrorKind::BadRequest);
}

HttpResponse OperatorFrontend::checkRules(const HttpRequest& request) const
{
    const auto body = parseJson(request.body);
    if (!body)
        return errorResponse(ErrorKind::BadRequest);
    const ParsedRules parsed = parseRules(jsonString(*body, "text"));
    JsonBuilder builder;
    builder.flag("ok", parsed.ok());
    addErrors(builder, parsed.errors);
    return json(builder.finish());
}

HttpResponse OperatorFrontend::applyRules(const HttpRequest& request)
{
    const auto body = parseJson(request.body);
    if (!body)
        return errorResponse(ErrorKind::BadRequest);
    RulesProposal proposal;
    proposal.base = RulesVersion(static_cast<std::uint64_t>(jsonInteger(*body, "base")));
    proposal.change = WriterId(jsonString(*body, "change"));
    proposal.author = jsonString(*body, "author");
    proposal.unixSeconds = jsonInteger(*body, "unix_seconds");
    proposal.text = jsonString(*body, "text");
    if (proposal.change.empty())
        return errorResponse(ErrorKind::BadRequest, "The change has no id.");
    const RulesApplyResult result = m_hooks.applyRules(proposal);
    LogEvent("rules_apply")
        .with("change", proposal.change)
        .with("author", proposal.author)
        .with("outcome", rulesApplyOutcomeName(result.outcome))
        .with("version", result.version);
    return json(applyJson(result), applyStatus(result.outcome));
}

HttpResponse OperatorFrontend::orderEngine(const HttpRequest& request)
{
    const auto body = parseJson(request.body);
    const auto kind = body ? parseOrderKind(jsonString(*body, "kind")) : std::nullopt;
    if (!kind || jsonString(*body, "value").empty())
        return errorResponse(ErrorKind::BadRequest, "Name an engine, a kind of order and a value.");
    const EngineId engine(jsonString(*body, "engine"));
    const std::error_code error = m_hooks.order(engine, *kind, jsonString(*body, "value"));
    LogEvent("order_asked").with("engine", engine).with("kind", orderKindName(*kind)).with("taken", !error);
    if (error)
        return errorResponse(errorKind(error));
    return json(JsonBuilder().text("state", "ordered").finish(), 202);
}

HttpResponse OperatorFrontend::showRules() const
{
    const auto change = m_hooks.rulesInForce();
    return change ? json(rulesChangeJson(*change)) : errorResponse(ErrorKind::NoRules);
}

HttpResponse OperatorFrontend::historyOfRules(const HttpRequest&) const
{
    const auto history = m_hooks.rulesHistory(historyLimit);
    if (!history)
        return errorResponse(history.kind());
    JsonBuilder builder;
    builder.beginArray("changes");
    for (const RulesChange& change : history.value())
        builder.rawElement(rulesChangeJson(change));
    return json(builder.endArray().finish());
}

std::string rulesChangeJson(const RulesChange& change)
{
    return JsonBuilder()
        .integer("version", static_cast<std::int64_t>(change.version.count()))
        .text("change", change.change.text())
        .text("parent", change.parent.text())
        .text("author", change.author)
        .integer("unix_seconds", change.unixSeconds)
        .text("text", change.text)
        .finish();
}

std::optional<RulesChange> readRulesChange(const std::string& text)
{
    const auto body = parseJson(text);
    if (!body)
        return std::nullopt;
    RulesChange change;
    change.version = RulesVersion(static_cast<std::uint64_t>(jsonInteger(*body, "version")));
    change.change = WriterId(jsonString(*body, "change"));
    change.parent = WriterId(jsonString(*body, "parent"));
    change.author = jsonString(*body, "author");
    change.unixSeconds = jsonInteger(*body, "unix_seconds");
    change.text = jsonString(*body, "text");
    if (change.version == RulesVersion(0) || change.change.empty())
        return std::nullopt;
    return change;
}

} // namespace almondscale
