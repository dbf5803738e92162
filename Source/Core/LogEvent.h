#pragma once

#include <sstream>
#include <string>

namespace almondscale {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

// Builds a log line of key=value pairs and writes it on destruction.
class LogEvent {
public:
    explicit LogEvent(const char* event, LogLevel level = LogLevel::Info);
    ~LogEvent();
    LogEvent(const LogEvent&) = delete;
    LogEvent& operator=(const LogEvent&) = delete;

    template <typename T> LogEvent& with(const char* key, const T& value)
    {
        std::ostringstream text;
        text << value;
        return add(key, text.str());
    }

private:
    LogEvent& add(const char* key, const std::string& value);

    LogLevel m_level;
    std::string m_line;
};

// Sends the log to standard output, without lines below the level.
void configureLog(LogLevel lowest);

// Limits the lines per second, with a burst. Lines over the limit, and lines that standard output
// does not accept without blocking, are dropped and counted.
void setLogRateLimit(double linesPerSecond, double burst);

} // namespace almondscale
