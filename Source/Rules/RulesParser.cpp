#include "Rules/RulesParser.h"

#include "Rules/RuleLine.h"
#include "Rules/RuleValueReader.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>

namespace almondscale {

namespace {

    constexpr std::int64_t maxContextTokens = 100'000'000;
    constexpr double maxRequestsPerSecond = 1e9;
    constexpr std::int64_t maxPriority = 1000;
    constexpr std::int64_t maxEngines = 100'000;
    constexpr std::int64_t maxObjectiveMs = 86'400'000;
    constexpr double maxTarget = 0.99999;

    const std::vector<std::string> methods { "POST", "PUT", "PATCH", "DELETE", "GET" };
    const std::vector<std::string> roleNames { "mixed", "prefill", "decode" };

    EngineRole parseRole(const std::string& word)
    {
        return parseEngineRole(word).value_or(EngineRole::Mixed);
    }

    class Parser {
    public:
        explicit Parser(ParsedRules& result)
            : m_result(result)
        {
        }

        void read(const std::vector<RuleLine>& lines)
        {
            // Models and services are read first, so that other rules may refer to them
            // regardless of the order of the lines.
            for (const auto& line : lines)
                readDeclaration(line);
            for (const auto& line : lines)
                readRule(line);
        }

    private:
        using Reader = void (Parser::*)(const RuleLine&, RuleValueReader&);

        static const std::map<std::string, Reader>& readers()
        {
            static const std::map<std::string, Reader> table {
                { "engine", &Parser::readEngine },
                { "instance", &Parser::readInstance },
                { "booking", &Parser::readBooking },
                { "limit", &Parser::readLimit },
                { "priority", &Parser::readPriority },
                { "roles", &Parser::readRoles },
                { "objective", &Parser::readObjective },
            };
            return table;
        }

        void readDeclaration(const RuleLine& line)
        {
            RuleValueReader values(line, m_result.errors);
            if (line.keyword == "model")
                readModel(line, values);
            else if (line.keyword == "service")
                readService(line, values);
        }

        void readRule(const RuleLine& line)
        {
            if (line.keyword == "model" || line.keyword == "service")
                return;
            RuleValueReader values(line, m_result.errors);
            const auto reader = readers().find(line.keyword);
            if (reader == readers().end()) {
                values.fail("unknown word '" + line.keyword
                    + "'; allowed: model, engine, service, instance, booking, limit, priority, roles, "
                      "objective");
                return;
            }
            (this->*reader->second)(line, values);
        }

        void readModel(const RuleLine& line, RuleValueReader& values)
        {
            values.rejectKeysExcept({ "context-tokens" });
            ModelRule rule;
            rule.model = ModelName(values.ruleName());
            rule.contextTokens = TokenCount(values.integer("context-tokens", 1, maxContextTokens));
            if (checkUnique(line, values, "model " + line.name))
                m_result.rules.models.push_back(rule);
        }

        void readService(const RuleLine& line, RuleValueReader& values)
        {
            values.rejectKeysExcept({});
            ServiceRule rule;
            rule.service = ServiceName(values.ruleName());
            if (checkUnique(line, values, "service " + line.name))
                m_result.rules.services.push_back(rule);
        }

        void readEngine(const RuleLine& line, RuleValueReader& values)
        {
            values.rejectKeysExcept({ "model", "data-centre", "address", "role", "fencing" });
            EngineRule rule;
            rule.engine = EngineId(values.ruleName());
            rule.model = resolveModel(values, values.name("model"));
            rule.dataCentre = DataCentre(values.name("data-centre"));
            rule.address = values.address("address");
            rule.role = parseRole(values.choiceOr("role", roleNames, "mixed"));
            rule.checksFencing = values.choice("fencing", { "checked", "ignored" }) == "checked";
            const bool uniqueName = checkUnique(line, values, "engine " + line.name);
            if (uniqueName && checkUnique(line, values, "address " + rule.address.text()))
                m_result.rules.engines.push_back(rule);
        }

        void readInstance(const RuleLine& line, RuleValueReader& values)
        {
            values.rejectKeysExcept({ "data-centre", "address" });
            ServiceInstance instance;
            instance.dataCentre = DataCentre(values.name("data-centre"));
            instance.address = values.address("address");
            auto* service = findService(values, line.name);
            if (checkUnique(line, values, "address " + instance.address.text()))
                service->instances.push_back(instance);
        }

        void readBooking(const RuleLine& line, RuleValueReader& values)
        {
            values.rejectKeysExcept({ "method", "path" });
            BookingCall call;
            call.method = values.choice("method", methods);
            call.pathPrefix = values.path("path");
            auto* service = findService(values, line.name);
            if (checkUnique(line, values, "booking " + line.name + " " + call.method + " " + call.pathPrefix))
                service->bookingCalls.push_back(call);
        }

        void readLimit(const RuleLine& line, RuleValueReader& values)
        {
            values.rejectKeysExcept({ "requests-per-second" });
            LimitRule rule;
            rule.organisation = Organisation(values.ruleNameOrAny());
            rule.requestsPerSecond = values.decimal("requests-per-second", 0, maxRequestsPerSecond);
            if (checkUnique(line, values, "limit " + line.name))
                m_result.rules.limits.push_back(rule);
        }

        void readPriority(const RuleLine& line, RuleValueReader& values)
        {
            values.rejectKeysExcept({ "highest" });
            PriorityRule rule;
            rule.organisation = Organisation(values.ruleNameOrAny());
            rule.highest = Priority(static_cast<int>(values.integer("highest", 0, maxPriority)));
            if (checkUnique(line, values, "priority " + line.name))
                m_result.rules.priorities.push_back(rule);
        }

        void readRoles(const RuleLine& line, RuleValueReader& values)
        {
            values.rejectKeysExcept({ "role", "floor", "ceiling" });
            RoleRule rule;
            rule.model = resolveModel(values, line.name);
            const auto role = values.choiceOr("role", roleNames, "mixed");
            rule.role = parseRole(role);
            rule.floor = static_cast<int>(values.integer("floor", 0, maxEngines));
            rule.ceiling = static_cast<int>(values.integer("ceiling", 0, maxEngines));
            if (values.ok() && rule.floor > rule.ceiling)
                values.fail("floor is " + std::to_string(rule.floor) + " and ceiling is "
                    + std::to_string(rule.ceiling) + "; allowed: a floor up to the ceiling");
            if (checkUnique(line, values, "roles " + line.name + " role=" + role))
                m_result.rules.roles.push_back(rule);
        }

        void readObjective(const RuleLine& line, RuleValueReader& values)
        {
            values.rejectKeysExcept({ "organisation", "first-token-ms", "token-gap-ms", "target" });
            ObjectiveRule rule;
            rule.model = resolveModel(values, line.name);
            rule.organisation = Organisation(values.nameOrAny("organisation"));
            rule.firstToken = std::chrono::milliseconds(values.integer("first-token-ms", 1, maxObjectiveMs));
            rule.tokenGap = std::chrono::milliseconds(values.integer("token-gap-ms", 1, maxObjectiveMs));
            rule.target = values.decimal("target", 0, maxTarget);
            rule.line = line.line;
            const auto key = "objective " + line.name + " organisation=" + rule.organisation.text();
            if (checkUnique(line, values, key))
                m_result.rules.objectives.push_back(rule);
        }

        ModelName resolveModel(RuleValueReader& values, const std::string& name)
        {
            if (!name.empty() && !m_firstLines.count("model " + name))
                values.fail(
                    "unknown model '" + name + "'; allowed: a model that has a rule 'model NAME ...'");
            return ModelName(name);
        }

        ServiceRule* findService(RuleValueReader& values, const std::string& name)
        {
            for (auto& service : m_result.rules.services) {
                if (service.service.text() == name)
                    return &service;
            }
            values.fail("unknown service '" + name + "'; allowed: a service that has a rule 'service NAME'");
            return nullptr;
        }

        // Returns whether the rule is valid and the first one for its subject.
        bool checkUnique(const RuleLine& line, RuleValueReader& values, const std::string& subject)
        {
            const auto [first, inserted] = m_firstLines.emplace(subject, line.line);
            if (!inserted)
                values.fail("second rule for '" + subject + "'; the first is on line "
                    + std::to_string(first->second) + "; remove one");
            return values.ok();
        }

        ParsedRules& m_result;
        // The line of the first rule by subject.
        std::map<std::string, int> m_firstLines;
    };

} // namespace

ParsedRules parseRules(const std::string& text, RulesVersion version)
{
    ParsedRules result;
    result.rules.version = version;
    result.rules.text = text;
    if (text.size() > maxRulesBytes) {
        result.errors.push_back({ 1,
            "text of " + std::to_string(text.size()) + " bytes; allowed: at most "
                + std::to_string(maxRulesBytes) });
        return result;
    }
    auto lines = tokenizeRules(text);
    result.errors = std::move(lines.errors);
    Parser(result).read(lines.lines);
    std::stable_sort(result.errors.begin(), result.errors.end(),
        [](const RuleError& a, const RuleError& b) { return a.line < b.line; });
    return result;
}

} // namespace almondscale
