#include "HostMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <ctime>

namespace almondscale {

namespace {

    using prometheus::BuildCounter;
    using prometheus::BuildGauge;
    using prometheus::BuildHistogram;

    const prometheus::Histogram::BucketBoundaries firstTokenBuckets { 0.01, 0.03, 0.06, 0.1, 0.2, 0.3, 0.4,
        0.56, 0.8, 1.2, 2, 4, 8, 16 };

    double processSeconds()
    {
        timespec used {};
        clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
        return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / 1e9;
    }

} // namespace

class HostMetrics::Impl {
public:
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests = BuildCounter()
                                                            .Name("almondscale_requests_total")
                                                            .Help("Requests by model and result.")
                                                            .Register(registry);
    prometheus::Family<prometheus::Histogram>& firstToken = BuildHistogram()
                                                                .Name("almondscale_first_token_seconds")
                                                                .Help("Time to the first token.")
                                                                .Register(registry);
    prometheus::Family<prometheus::Counter>& attempts = BuildCounter()
                                                            .Name("almondscale_attempts_total")
                                                            .Help("Attempts at engines by outcome.")
                                                            .Register(registry);
    prometheus::Family<prometheus::Counter>& bookings
        = BuildCounter().Name("almondscale_bookings_total").Help("Bookings by result.").Register(registry);
    prometheus::Family<prometheus::Counter>& tokens = BuildCounter()
                                                          .Name("almondscale_tokens_total")
                                                          .Help("Tokens sent to callers by model.")
                                                          .Register(registry);
    prometheus::Counter& processCpu = BuildCounter()
                                          .Name("process_cpu_seconds_total")
                                          .Help("Processor time of the process.")
                                          .Register(registry)
                                          .Add({});
};

HostMetrics::HostMetrics()
    : m_impl(std::make_unique<Impl>())
{
}

HostMetrics::~HostMetrics() = default;

void HostMetrics::requestEnded(const ModelName& model, ErrorKind kind)
{
    m_impl->requests.Add({ { "model", model.text() }, { "result", errorName(kind) } }).Increment();
}

void HostMetrics::firstToken(const ModelName& model, Nanoseconds sinceArrival)
{
    const double seconds = std::chrono::duration<double>(sinceArrival).count();
    m_impl->firstToken.Add({ { "model", model.text() } }, firstTokenBuckets).Observe(seconds);
}

void HostMetrics::attemptEnded(const char* outcome)
{
    m_impl->attempts.Add({ { "outcome", outcome } }).Increment();
}

void HostMetrics::bookingEnded(ErrorKind kind)
{
    m_impl->bookings.Add({ { "result", errorName(kind) } }).Increment();
}

void HostMetrics::tokensSent(const ModelName& model, std::int64_t count)
{
    m_impl->tokens.Add({ { "model", model.text() } }).Increment(static_cast<double>(count));
}

void HostMetrics::setGauge(const char* name, const char* help, double value)
{
    BuildGauge().Name(name).Help(help).Register(m_impl->registry).Add({}).Set(value);
}

std::string HostMetrics::text() const
{
    const double used = processSeconds();
    m_impl->processCpu.Increment(used - m_impl->processCpu.Value());
    return prometheus::TextSerializer().Serialize(m_impl->registry.Collect());
}

} // namespace almondscale
