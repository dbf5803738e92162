#include "Load/LoadRun.h"

#include "Http/HttpClient.h"
#include "Http/Json.h"
#include "Load/HostCost.h"
#include "Load/LoadPlan.h"
#include "Load/Percentile.h"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>

namespace almondscale {

namespace {

    constexpr Nanoseconds progressInterval = std::chrono::seconds(1);
    constexpr Nanoseconds progressPoll = std::chrono::milliseconds(50);
    constexpr Nanoseconds callTimeout = std::chrono::seconds(10);
    constexpr int statusOk = 200;
    constexpr Nanoseconds idleInterval = std::chrono::seconds(1);
    constexpr double median = 0.5;
    constexpr double tail = 0.99;

    // The threads of a run and what they share.
    class Callers {
    public:
        Callers(const LoadOptions& options, std::vector<PlannedCall> calls)
            : m_options(options)
            , m_calls(std::move(calls))
            , m_start(monotonicClock()())
        {
        }

        void run()
        {
            std::vector<std::thread> threads;
            const std::size_t count = std::min(m_options.streams, m_calls.size());
            threads.reserve(count);
            for (std::size_t i = 0; i < count; ++i)
                threads.emplace_back([this] { work(); });
            showProgress();
            for (std::thread& thread : threads)
                thread.join();
        }

        const LoadTally& tally() const { return m_tally; }
        const BookingAudit& audit() const { return m_audit; }

    private:
        void work()
        {
            for (;;) {
                const std::size_t index = m_next++;
                if (index >= m_calls.size())
                    return;
                const PlannedCall& call = m_calls[index];
                std::this_thread::sleep_until(m_start + call.at);
                ++m_running;
                const CallOutcome outcome = sendCall(call, m_options.mix.lines[call.line], m_options.calls,
                    m_options.hosts[call.host], m_start + call.at);
                --m_running;
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_tally.onOutcome(outcome);
                if (!call.key.empty())
                    m_audit.onOutcome(call.key, outcome);
            }
        }

        void showProgress()
        {
            MonotonicTime next = m_start + progressInterval;
            for (;;) {
                std::this_thread::sleep_for(progressPoll);
                const std::lock_guard<std::mutex> lock(m_mutex);
                if (m_tally.sent() == static_cast<std::int64_t>(m_calls.size()))
                    return;
                const MonotonicTime now = monotonicClock()();
                if (now < next)
                    continue;
                next += progressInterval;
                const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(now - m_start).count();
                std::cerr << "t=" << seconds << " planned=" << m_calls.size()
                          << " answered=" << m_tally.sent() << " complete=" << m_tally.complete()
                          << " refused=" << m_tally.refused() << " failed=" << m_tally.failed()
                          << " running=" << m_running << "\n";
            }
        }

        const LoadOptions& m_options;
        std::vector<PlannedCall> m_calls;
        MonotonicTime m_start;
        std::atomic<std::size_t> m_next { 0 };
        std::atomic<int> m_running { 0 };
        std::mutex m_mutex;
        LoadTally m_tally;
        BookingAudit m_audit;
    };

    std::int64_t microseconds(Nanoseconds time)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
    }

    std::string probeText(const ProbeTimes& times)
    {
        const auto added = [&](double share) {
            return microseconds(percentile(times.throughHost, share) - percentile(times.direct, share));
        };
        std::ostringstream text;
        text << "probes=" << times.direct.size()
             << " direct_p50_us=" << microseconds(percentile(times.direct, median))
             << " direct_p99_us=" << microseconds(percentile(times.direct, tail))
             << " added_p50_us=" << added(median) << " added_p99_us=" << added(tail);
        return text.str();
    }

    // The processor time that the hosts use in a second without calls.
    std::optional<Nanoseconds> idleUse(const std::vector<Address>& metrics)
    {
        const std::optional<Nanoseconds> before = processorTime(metrics);
        if (!before)
            return std::nullopt;
        std::this_thread::sleep_for(idleInterval);
        const std::optional<Nanoseconds> after = processorTime(metrics);
        if (!after)
            return std::nullopt;
        return *after - *before;
    }

    // What the calls cost on top of what the hosts use without them.
    std::string processorText(Nanoseconds idle, Nanoseconds used, Nanoseconds length, std::int64_t sent)
    {
        const double seconds = std::chrono::duration<double>(length).count();
        const auto background = std::chrono::duration_cast<Nanoseconds>(idle * seconds);
        std::ostringstream text;
        text << "host_cpu_us_per_request="
             << microseconds(used - background) / std::max<std::int64_t>(sent, 1)
             << " hosts_idle_cpu_us_per_second=" << microseconds(idle);
        return text.str();
    }

    std::string probeCost(const LoadOptions& options)
    {
        if (options.directEngines.empty() || options.probes == 0)
            return {};
        return " "
            + probeText(
                probe(options.hosts, options.directEngines, options.calls, options.probes, options.seed));
    }

} // namespace

bool readRuns(const std::vector<Address>& services, std::map<std::string, std::int64_t>& runs)
{
    for (const Address& service : services) {
        HttpCall call;
        call.to = service;
        call.path = "/runs";
        call.deadline = Deadline::after(monotonicClock()(), callTimeout);
        const CallResult result = callOnce(call);
        if (!result.ok() || result.response->status != statusOk)
            return false;
        const std::optional<JsonDocument> json = parseJson(result.response->body);
        const JsonValue* counts = json ? jsonMember(*json, "runs") : nullptr;
        if (counts == nullptr || !counts->IsObject())
            return false;
        for (const auto& entry : counts->GetObject())
            runs[entry.name.GetString()] += entry.value.GetInt64();
    }
    return true;
}

LoadResult runLoad(const LoadOptions& options)
{
    PlanSize size;
    size.callsPerSecond = options.callsPerSecond;
    size.length = options.length;
    size.hosts = options.hosts.size();
    size.seed = options.seed;
    const bool metered = !options.metrics.empty();
    const std::optional<Nanoseconds> idle = metered ? idleUse(options.metrics) : std::nullopt;
    const std::optional<Nanoseconds> before = processorTime(options.metrics);
    const MonotonicTime start = monotonicClock()();
    Callers callers(options, planCalls(options.mix, size));
    callers.run();
    const std::optional<Nanoseconds> after = processorTime(options.metrics);
    LoadResult result;
    result.tally = callers.tally();
    if (idle && before && after)
        result.cost = processorText(*idle, *after - *before, monotonicClock()() - start, result.tally.sent());
    else
        result.cost = "host_cpu_us_per_request=unknown";
    result.cost += probeCost(options);
    std::map<std::string, std::int64_t> runs;
    result.bookingsCounted = readRuns(options.services, runs);
    result.bookings = callers.audit().judge(runs);
    return result;
}

} // namespace almondscale
