#pragma once

#include "Core/ErrorKind.h"
#include "Core/ModelName.h"
#include "Core/MonotonicTime.h"

#include <memory>
#include <string>

namespace almondscale {

// The counters of one host, in the text format that monitoring systems read.
class HostMetrics {
public:
    HostMetrics();
    ~HostMetrics();

    // Label values come from the rules and the table of errors only, so that callers cannot add any.
    void requestEnded(const ModelName&, ErrorKind);
    void firstToken(const ModelName&, Nanoseconds sinceArrival);
    void attemptEnded(const char* outcome);
    void bookingEnded(ErrorKind);
    void tokensSent(const ModelName&, std::int64_t count);
    void setGauge(const char* name, const char* help, double value);

    // The text for /metrics.
    std::string text() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
