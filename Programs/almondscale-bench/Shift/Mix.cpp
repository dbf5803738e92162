#include "Shift/Mix.h"

#include "Roles/RoleCapacity.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <sstream>

namespace almondscale {

namespace {

    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    using std::chrono::seconds;

    // One kind of request.
    struct RequestShape {
        int promptTokens;
        int outputTokens;
        double sharedPrefix;
        int deadlineMs;
    };

    // A lot register or a service manual, answered in a word or two.
    constexpr RequestShape longPrompt { 6000, 8, 0.3, 3000 };
    // A short question with a long answer.
    constexpr RequestShape longAnswer { 1200, 200, 0.3, 8000 };
    constexpr RequestShape middle { 3000, 60, 0.3, 4000 };
    // One story: everybody asks about the same text.
    constexpr RequestShape story { 6000, 8, 0.6, 3000 };

    constexpr int runSeconds = 1200;
    // Rates are relative until the load scales them.
    constexpr double unitRate = 100;

    void add(Mix& mix, int length, double rate, const RequestShape& shape, int model = 0)
    {
        MixSegment segment;
        for (const auto& earlier : mix.segments) {
            if (earlier.model == model)
                segment.start = std::max(segment.start, earlier.start + earlier.length);
        }
        segment.length = seconds(length);
        segment.requestsPerSecond = rate;
        segment.promptTokens = TokenCount(shape.promptTokens);
        segment.outputTokens = TokenCount(shape.outputTokens);
        segment.sharedPrefix = shape.sharedPrefix;
        segment.deadline = milliseconds(shape.deadlineMs);
        segment.model = model;
        mix.segments.push_back(segment);
    }

    RequestShape between(const RequestShape& a, const RequestShape& b, double share)
    {
        const auto blend
            = [share](int from, int to) { return static_cast<int>(std::lround(from + share * (to - from))); };
        return { blend(a.promptTokens, b.promptTokens), blend(a.outputTokens, b.outputTokens), a.sharedPrefix,
            blend(a.deadlineMs, b.deadlineMs) };
    }

    void addAlternating(
        Mix& mix, int total, int halfPeriod, const RequestShape& a, const RequestShape& b, int model = 0)
    {
        for (int i = 0; i * halfPeriod < total; ++i)
            add(mix, halfPeriod, unitRate, i % 2 == 0 ? a : b, model);
    }

    void addDrift(Mix& mix, int total, int steps, const RequestShape& a, const RequestShape& b)
    {
        for (int i = 0; i < steps; ++i)
            add(mix, total / steps, unitRate, between(a, b, static_cast<double>(i) / (steps - 1)));
    }

    // The shapes rise in steps and fall back at once.
    void addSawtooth(Mix& mix, int total, int period)
    {
        constexpr int steps = 5;
        for (int i = 0; i * period < total; ++i)
            addDrift(mix, period, steps, longAnswer, longPrompt);
    }

    void addBurst(Mix& mix)
    {
        constexpr double peak = 2.0;
        add(mix, 300, unitRate, middle);
        add(mix, 300, unitRate * peak, story);
        add(mix, 300, unitRate, between(story, middle, 0.5));
        add(mix, 300, unitRate, middle);
    }

    using MixMaker = void (*)(Mix&);

    const std::map<std::string, MixMaker>& makers()
    {
        static const std::map<std::string, MixMaker> all {
            { "steady", [](Mix& mix) { add(mix, runSeconds, unitRate, middle); } },
            { "slow-drift", [](Mix& mix) { addDrift(mix, 3 * runSeconds, 60, longAnswer, longPrompt); } },
            { "swing", [](Mix& mix) { addAlternating(mix, runSeconds, 240, longPrompt, longAnswer); } },
            { "burst", addBurst },
            { "sawtooth-slow", [](Mix& mix) { addSawtooth(mix, runSeconds, 200); } },
            { "sawtooth-fast", [](Mix& mix) { addSawtooth(mix, runSeconds, 20); } },
            { "two-models",
                [](Mix& mix) {
                    addAlternating(mix, runSeconds, 300, longPrompt, longAnswer, 0);
                    addAlternating(mix, runSeconds, 300, longAnswer, longPrompt, 1);
                } },
        };
        return all;
    }

    std::optional<MixSegment> readSegment(const std::string& line)
    {
        std::istringstream in(line);
        double length = 0;
        double rate = 0;
        double deadline = 0;
        std::int64_t prompt = 0;
        std::int64_t output = 0;
        MixSegment segment;
        if (!(in >> length >> rate >> prompt >> output >> segment.sharedPrefix >> deadline))
            return std::nullopt;
        if (!(in >> segment.model)) {
            if (!in.eof())
                return std::nullopt;
            segment.model = 0;
        }
        const bool sane = length > 0 && rate >= 0 && prompt > 0 && output > 0 && deadline > 0
            && segment.sharedPrefix >= 0 && segment.sharedPrefix < 1 && segment.model >= 0
            && segment.model <= 1;
        if (!sane)
            return std::nullopt;
        segment.length = duration_cast<Nanoseconds>(std::chrono::duration<double>(length));
        segment.requestsPerSecond = rate;
        segment.promptTokens = TokenCount(prompt);
        segment.outputTokens = TokenCount(output);
        segment.deadline = duration_cast<Nanoseconds>(std::chrono::duration<double, std::milli>(deadline));
        return segment;
    }

} // namespace

Nanoseconds Mix::length() const
{
    Nanoseconds end {};
    for (const auto& segment : segments)
        end = std::max(end, segment.start + segment.length);
    return end;
}

int Mix::models() const
{
    int most = 0;
    for (const auto& segment : segments)
        most = std::max(most, segment.model);
    return most + 1;
}

Demand segmentDemand(const MixSegment& segment)
{
    const auto prompt = static_cast<double>(segment.promptTokens.count());
    const auto output = static_cast<double>(segment.outputTokens.count());
    // The step that ends the prefill gives the first token.
    return { segment.requestsPerSecond, prompt - std::floor(prompt * segment.sharedPrefix), output - 1,
        prompt + output };
}

std::optional<Mix> readMix(const std::string& text, std::string& error)
{
    Mix mix;
    std::istringstream in(text);
    std::string line;
    std::array<Nanoseconds, 2> ends {};
    for (int number = 1; std::getline(in, line); ++number) {
        line = line.substr(0, line.find('#'));
        if (line.find_first_not_of(" \t") == std::string::npos)
            continue;
        auto segment = readSegment(line);
        if (!segment) {
            error = "line " + std::to_string(number)
                + ": expected SECONDS REQUESTS_PER_SECOND PROMPT_TOKENS OUTPUT_TOKENS SHARED_PREFIX "
                  "DEADLINE_MS [MODEL], all above 0, the share below 1, the model 0 or 1";
            return std::nullopt;
        }
        auto& end = ends[static_cast<std::size_t>(segment->model)];
        segment->start = end;
        end += segment->length;
        mix.segments.push_back(*segment);
    }
    if (mix.segments.empty()) {
        error = "no segment; write at least one line";
        return std::nullopt;
    }
    return mix;
}

std::optional<Mix> builtInMix(const std::string& name)
{
    const auto maker = makers().find(name);
    if (maker == makers().end())
        return std::nullopt;
    Mix mix;
    mix.name = name;
    maker->second(mix);
    return mix;
}

std::vector<std::string> builtInMixNames()
{
    std::vector<std::string> names;
    for (const auto& [name, maker] : makers())
        names.push_back(name);
    return names;
}

void scaleLoad(Mix& mix, const Fleet& fleet, double load)
{
    const RoleCapacity capacity(fleet.speeds);
    const int models = mix.models();
    for (int model = 0; model < models; ++model) {
        double asked = 0;
        double time = 0;
        for (const auto& segment : mix.segments) {
            if (segment.model != model)
                continue;
            const auto demand = segmentDemand(segment);
            double given = 0;
            for (int dataCentre = 0; dataCentre < fleet.dataCentres; ++dataCentre) {
                const int engines = fleet.enginesIn(dataCentre, model, models);
                given += capacity.answersPerSecond(capacity.best(engines, demand), demand);
            }
            const double length = std::chrono::duration<double>(segment.length).count();
            asked += length * segment.requestsPerSecond / given;
            time += length;
        }
        if (asked <= 0)
            continue;
        for (auto& segment : mix.segments) {
            if (segment.model == model)
                segment.requestsPerSecond *= load * time / asked;
        }
    }
}

} // namespace almondscale
