#pragma once

#include "Authority/EngineOrder.h"
#include "Core/EngineId.h"
#include "Http/HttpHandler.h"
#include "Rules/RulesStore.h"

#include <functional>
#include <map>
#include <string>

namespace almondscale {

// What the operators' port can ask of the host; each text is JSON.
struct OperatorHooks {
    std::function<RulesApplyResult(const RulesProposal&)> applyRules;
    std::function<std::optional<RulesChange>()> rulesInForce;
    std::function<Result<std::vector<RulesChange>>(std::size_t limit)> rulesHistory;
    std::function<std::string()> metrics;
    std::function<void()> shutDown;
    // An order to an engine, if this host holds the lease of its pool.
    std::function<std::error_code(const EngineId&, OrderKind, const std::string& value)> order;
    // Calls of peers by path, such as "/peer/rules"; nothing stands for a malformed call.
    std::map<std::string, std::function<std::optional<std::string>(const std::string& body)>> peerCalls;
    // Read-only views by path, such as "/status".
    std::map<std::string, std::function<HttpResponse(const HttpRequest&)>> views;
};

// Serves the operators' port: commands need the operators' key, pulls of rules the peers' key.
class OperatorFrontend {
public:
    // Each key function gives the keys that are accepted now.
    using Keys = std::function<std::vector<std::string>()>;

    OperatorFrontend(OperatorHooks, Keys operatorKeys, Keys peerKeys);

    void serve(const HttpRequest&, ReplyWriter&);

private:
    HttpResponse answer(const HttpRequest&);
    HttpResponse answerPeer(const HttpRequest&) const;
    HttpResponse checkRules(const HttpRequest&) const;
    HttpResponse applyRules(const HttpRequest&);
    HttpResponse orderEngine(const HttpRequest&);
    HttpResponse showRules() const;
    HttpResponse historyOfRules(const HttpRequest&) const;

    OperatorHooks m_hooks;
    Keys m_operatorKeys;
    Keys m_peerKeys;
};

// A change of the rules as JSON, and back.
std::string rulesChangeJson(const RulesChange&);
std::optional<RulesChange> readRulesChange(const std::string& json);

} // namespace almondscale
