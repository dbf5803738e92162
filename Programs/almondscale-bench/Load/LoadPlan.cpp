#include "Load/LoadPlan.h"

#include "Core/RandomSource.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace almondscale {

namespace {

    // A repeated booking follows the first within this time.
    constexpr Nanoseconds longestRepeatDelay = std::chrono::milliseconds(500);
    constexpr std::uint64_t vocabulary = 5000;

    std::int64_t drawCount(const RandomSource& random, const CountRange& range)
    {
        const auto width = static_cast<std::uint64_t>(range.high - range.low + 1);
        return range.low + static_cast<std::int64_t>(uniformBelow(random, width));
    }

    std::optional<std::size_t> drawLine(const RandomSource& random, const LoadMix& mix, double part)
    {
        const auto weightNow
            = [&](const MixLine& line) { return part >= line.from && part < line.until ? line.weight : 0; };
        double total = 0;
        for (const MixLine& line : mix.lines)
            total += weightNow(line);
        double draw = uniform(random) * total;
        for (std::size_t i = 0; i < mix.lines.size(); ++i) {
            const double weight = weightNow(mix.lines[i]);
            if (draw < weight)
                return i;
            draw -= weight;
        }
        return std::nullopt;
    }

    void appendWords(std::string& text, std::uint64_t seed, std::int64_t count)
    {
        const RandomSource random = seededRandom(seed);
        for (std::int64_t i = 0; i < count; ++i) {
            if (!text.empty())
                text += ' ';
            text.append("lot").append(std::to_string(uniformBelow(random, vocabulary)));
        }
    }

} // namespace

std::vector<PlannedCall> planCalls(const LoadMix& mix, const PlanSize& size)
{
    const RandomSource random = seededRandom(size.seed);
    std::vector<PlannedCall> calls;
    const double length = std::chrono::duration<double>(size.length).count();
    double time = 0;
    for (;;) {
        // Independent callers make exponential gaps.
        time -= std::log(1 - uniform(random)) / size.callsPerSecond;
        if (time >= length)
            break;
        const std::optional<std::size_t> line = drawLine(random, mix, time / length);
        if (!line)
            continue;
        const MixLine& kind = mix.lines[*line];
        PlannedCall call;
        call.at = std::chrono::duration_cast<Nanoseconds>(std::chrono::duration<double>(time));
        call.host = uniformBelow(random, size.hosts);
        call.line = *line;
        call.promptWords = drawCount(random, kind.promptWords);
        call.maxTokens = drawCount(random, kind.maxTokens);
        call.promptSeed = random();
        call.prefixSeed = uniformBelow(random, static_cast<std::uint64_t>(kind.prefixes));
        if (kind.booking)
            call.key = BookingKey("load-" + std::to_string(size.seed) + "-" + std::to_string(calls.size()));
        calls.push_back(call);
        if (!kind.booking || uniform(random) >= kind.repeat)
            continue;
        call.host = (call.host + 1) % size.hosts;
        call.at += Nanoseconds(uniformBelow(random, static_cast<std::uint64_t>(longestRepeatDelay.count())));
        call.repeated = true;
        calls.push_back(call);
    }
    std::stable_sort(
        calls.begin(), calls.end(), [](const PlannedCall& a, const PlannedCall& b) { return a.at < b.at; });
    return calls;
}

std::string promptOf(const PlannedCall& call, const MixLine& line)
{
    const auto shared = static_cast<std::int64_t>(static_cast<double>(call.promptWords) * line.prefixShare);
    std::string prompt;
    appendWords(prompt, call.prefixSeed, shared);
    appendWords(prompt, call.promptSeed, call.promptWords - shared);
    return prompt;
}

} // namespace almondscale
