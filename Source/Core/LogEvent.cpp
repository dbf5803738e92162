#include "Core/LogEvent.h"

#include "Core/LogRateLimiter.h"

#include <easylogging++.h>

#include <algorithm>
#include <chrono>

#include <poll.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace almondscale {

namespace {

    bool needsQuotes(const std::string& value)
    {
        if (value.empty())
            return true;
        return std::any_of(value.begin(), value.end(),
            [](unsigned char c) { return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f; });
    }

    std::string quoted(const std::string& value)
    {
        if (!needsQuotes(value))
            return value;
        std::string text = "\"";
        for (const char c : value) {
            if (c == '"' || c == '\\')
                text += '\\';
            // A line break in text from a caller could forge a second event.
            text += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
        }
        return text + '"';
    }

    LogRateLimiter& logRateLimiter()
    {
        static LogRateLimiter limiter;
        return limiter;
    }

    // Set before the event loop starts and only read afterwards.
    bool dropsWhenBlocked = false;

    // A pipe that polls as writable accepts a line of up to 4096 bytes without blocking.
    bool outputIsWritable()
    {
        pollfd out { STDOUT_FILENO, POLLOUT, 0 };
        return poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
    }

} // namespace

LogEvent::LogEvent(const char* event, LogLevel level)
    : m_level(level)
    , m_line(std::string("event=") + event)
{
}

LogEvent::~LogEvent()
{
    auto& limiter = logRateLimiter();
    const double now
        = std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
    if (!limiter.admit(m_level, now, !dropsWhenBlocked || outputIsWritable()))
        return;
    if (const auto dropped = limiter.takeDropped())
        m_line += " lines_left_out=" + std::to_string(dropped);
    switch (m_level) {
    case LogLevel::Debug:
        LOG(DEBUG) << m_line;
        return;
    case LogLevel::Info:
        LOG(INFO) << m_line;
        return;
    case LogLevel::Warning:
        LOG(WARNING) << m_line;
        return;
    case LogLevel::Error:
        LOG(ERROR) << m_line;
        return;
    }
}

LogEvent& LogEvent::add(const char* key, const std::string& value)
{
    m_line += ' ';
    m_line += key;
    m_line += '=';
    m_line += quoted(value);
    return *this;
}

void setLogRateLimit(double linesPerSecond, double burst)
{
    LogRateLimit limit;
    limit.linesPerSecond = linesPerSecond;
    limit.burst = burst;
    logRateLimiter().setLimit(limit);
    dropsWhenBlocked = linesPerSecond > 0;
}

void configureLog(LogLevel lowest)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(
        el::ConfigurationType::Format, "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
    const char* off = "false";
    if (lowest > LogLevel::Debug)
        configuration.set(el::Level::Debug, el::ConfigurationType::Enabled, off);
    if (lowest > LogLevel::Info)
        configuration.set(el::Level::Info, el::ConfigurationType::Enabled, off);
    if (lowest > LogLevel::Warning)
        configuration.set(el::Level::Warning, el::ConfigurationType::Enabled, off);
    el::Loggers::reconfigureAllLoggers(configuration);
}

} // namespace almondscale
