#include "CompletionServer.h"

#include "CompletionCall.h"
#include "CompletionRun.h"
#include "Core/LogEvent.h"
#include "Http/ErrorResponse.h"

#include <algorithm>

namespace almondscale {

namespace {

    const ModelRule* findModel(const RuleSet& rules, const ModelName& model)
    {
        const auto found = std::find_if(rules.models.begin(), rules.models.end(),
            [&](const ModelRule& rule) { return rule.model == model; });
        return found == rules.models.end() ? nullptr : &*found;
    }

    // The highest priority that the organisation's requests may ask for.
    Priority highestPriority(const RuleSet& rules, const Organisation& organisation)
    {
        Priority highest;
        for (const PriorityRule& rule : rules.priorities) {
            if (rule.organisation == organisation)
                return rule.highest;
            if (rule.organisation == Organisation("*"))
                highest = rule.highest;
        }
        return highest;
    }

} // namespace

CompletionServer::CompletionServer(HostContext& context)
    : m_context(context)
{
}

void CompletionServer::serve(const HttpRequest& request, bool chat, ReplyWriter& reply)
{
    const MonotonicTime now = m_context.clock();
    const auto rules = m_context.rules.get();
    if (!rules)
        return reply.send(errorResponse(ErrorKind::NoRules));
    auto parsed = parseCompletionCall(request, chat, now, m_context.settings.defaultDeadline);
    if (!parsed)
        return reply.send(errorResponse(parsed.kind()));
    CompletionCall& call = parsed.value();
    const ModelRule* model = findModel(*rules, call.model);
    const auto pool = m_context.engines.pool(call.model);
    if (!model || !pool)
        return reply.send(errorResponse(ErrorKind::UnknownModel));
    if (call.promptTokens + call.maxTokens > model->contextTokens)
        return reply.send(errorResponse(ErrorKind::PromptTooLong));
    if (const auto retryAt = m_context.limits.admit(call.organisation))
        return reply.send(errorResponse(ErrorKind::LimitExceeded, {}, *retryAt - now));
    m_context.demand.add(call.model, call.promptTokens, call.maxTokens);
    call.priority = std::min(call.priority, highestPriority(*rules, call.organisation));
    CompletionRun(m_context, call, *pool, reply).run();
}

} // namespace almondscale
