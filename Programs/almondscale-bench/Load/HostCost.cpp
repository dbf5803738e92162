#include "Load/HostCost.h"

#include "Http/HttpClient.h"
#include "Http/HttpStream.h"
#include "Http/JsonBuilder.h"
#include "Load/LoadPlan.h"

#include <cstdlib>
#include <sstream>

namespace almondscale {

namespace {

    constexpr const char* processorMetric = "process_cpu_seconds_total ";
    constexpr int statusOk = 200;
    constexpr Nanoseconds callTimeout = std::chrono::seconds(10);
    constexpr std::int64_t probeWords = 16;

    std::optional<Nanoseconds> processorTimeOf(const Address& host)
    {
        HttpCall call;
        call.to = host;
        call.path = "/metrics";
        call.deadline = Deadline::after(monotonicClock()(), callTimeout);
        const CallResult result = callOnce(call);
        if (!result.ok() || result.response->status != statusOk)
            return std::nullopt;
        std::istringstream lines(result.response->body);
        std::string line;
        const std::string metric = processorMetric;
        while (std::getline(lines, line)) {
            if (line.compare(0, metric.size(), metric) != 0)
                continue;
            const double seconds = std::strtod(line.c_str() + metric.size(), nullptr);
            return std::chrono::duration_cast<Nanoseconds>(std::chrono::duration<double>(seconds));
        }
        return std::nullopt;
    }

    PlannedCall probeCall(std::uint64_t seed)
    {
        PlannedCall call;
        call.promptWords = probeWords;
        call.maxTokens = 1;
        call.promptSeed = seed;
        return call;
    }

    MixLine probeLine()
    {
        MixLine line;
        // No two probes share a beginning, so that no cache helps one of a pair.
        line.prefixShare = 0;
        return line;
    }

    std::optional<Nanoseconds> timeThroughHost(
        const PlannedCall& call, const CallSettings& settings, const Address& host)
    {
        const MonotonicTime start = monotonicClock()();
        const CallOutcome outcome = sendCall(call, probeLine(), settings, host, start);
        if (outcome.kind != CallOutcome::Kind::Complete)
            return std::nullopt;
        return monotonicClock()() - start;
    }

    std::optional<Nanoseconds> timeDirect(
        const PlannedCall& planned, const CallSettings& settings, const Address& engine, std::uint64_t seed)
    {
        HttpCall call;
        call.to = engine;
        call.method = "POST";
        call.path = "/attempts";
        JsonBuilder body;
        body.text("attempt", "probe-" + std::to_string(seed)).text("model", settings.model);
        body.text("prompt", promptOf(planned, probeLine())).integer("max_tokens", planned.maxTokens);
        call.body = body.text("phase", "full").finish();
        const MonotonicTime start = monotonicClock()();
        call.deadline = Deadline::after(start, callTimeout);
        HttpStream stream;
        const CallResult result = stream.open(call);
        if (!result.ok() || result.response->status != statusOk)
            return std::nullopt;
        std::string line;
        while (stream.readLine(line, call.deadline) == HttpStream::ReadResult::Line) { }
        if (line.find("\"done\":true") == std::string::npos)
            return std::nullopt;
        return monotonicClock()() - start;
    }

} // namespace

std::optional<Nanoseconds> processorTime(const std::vector<Address>& hosts)
{
    Nanoseconds total {};
    for (const Address& host : hosts) {
        const std::optional<Nanoseconds> used = processorTimeOf(host);
        if (!used)
            return std::nullopt;
        total += *used;
    }
    return total;
}

ProbeTimes probe(const std::vector<Address>& hosts, const std::vector<Address>& engines,
    const CallSettings& settings, std::size_t pairs, std::uint64_t seed)
{
    ProbeTimes times;
    for (std::size_t i = 0; i < pairs && !engines.empty(); ++i) {
        const std::uint64_t unique = (seed << 20) + i;
        const PlannedCall call = probeCall(unique);
        const auto through = timeThroughHost(call, settings, hosts[i % hosts.size()]);
        const auto direct = timeDirect(call, settings, engines[i % engines.size()], unique);
        if (!through || !direct)
            continue;
        times.throughHost.push_back(*through);
        times.direct.push_back(*direct);
    }
    return times;
}

} // namespace almondscale
