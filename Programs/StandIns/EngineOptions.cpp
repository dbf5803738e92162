#include "StandIns/EngineOptions.h"

#include "StandIns/OptionValues.h"

namespace almondscale::standin {

namespace {

    template <typename Id> OptionTable::Setter setId(Id& target)
    {
        return [&target](const std::string& text) {
            target = Id(text);
            return !text.empty();
        };
    }

    // For counts of at least 1.
    template <typename Count> OptionTable::Setter setCount(Count& target)
    {
        return [&target](const std::string& text) {
            const std::optional<std::int64_t> count = parseCount(text);
            if (!count || *count == 0)
                return false;
            target = Count(*count);
            return true;
        };
    }

    OptionTable::Setter setRole(EngineRole& target)
    {
        return [&target](const std::string& text) {
            const std::optional<EngineRole> role = parseEngineRole(text);
            if (role)
                target = *role;
            return role.has_value();
        };
    }

    OptionTable::Setter setFencing(bool& checks)
    {
        return [&checks](const std::string& text) {
            checks = text == "checked";
            return checks || text == "ignored";
        };
    }

    OptionTable::Setter setStep(Nanoseconds& target)
    {
        return [&target](const std::string& text) {
            return setMilliseconds(target)(text) && target > Nanoseconds(0);
        };
    }

} // namespace

void addEngineOptions(OptionTable& options, EngineSettings& settings)
{
    options.add("id", "NAME", "the engine's name", setId(settings.engine));
    options.add("model", "NAME", "the model that is loaded at the start", setId(settings.model));
    options.add("role", "mixed|prefill|decode", "the role at the start", setRole(settings.role));
    options.add("fencing", "checked|ignored", "whether an order with an old fencing number is refused",
        setFencing(settings.checksFencing));
    options.add("blocks", "N", "blocks of KV memory", setCount(settings.blocks));
    options.add("block-tokens", "N", "tokens in a block", setCount(settings.blockTokens));
    options.add(
        "prefill-tokens-per-second", "N", "speed of prefill", setRate(settings.prefillTokensPerSecond));
    options.add("decode-tokens-per-second", "N", "speed of decode over all running attempts",
        setRate(settings.decodeTokensPerSecond));
    options.add("max-running", "N", "attempts in a batch", setCount(settings.maxRunning));
    options.add("max-queued", "N", "attempts that wait; more get 503 full", setCount(settings.maxQueued));
    options.add("step-ms", "N", "time of a step, in which an attempt makes at most one token",
        setStep(settings.step));
    options.add("load-lag-ms", "N", "age that a load report can have", setMilliseconds(settings.loadLag));
    options.add(
        "event-lag-ms", "N", "age at which a cache event is told", setMilliseconds(settings.eventLag));
    options.add("role-change-ms", "N", "time that an order takes", setMilliseconds(settings.roleChange));
    options.add("request-read-timeout-ms", "N", "a request that stays incomplete for this long is dropped",
        setMilliseconds(settings.requestReadTimeout));
    options.add("down-after-crash-ms", "N", "time from a crash to the next start",
        setMilliseconds(settings.downAfterCrash));
}

} // namespace almondscale::standin
