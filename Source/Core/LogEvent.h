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

// Writes one log line of key=value pairs when it is destroyed.
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

// Sends the log to standard output; lines below the level are left out.
void configureLog(LogLevel lowest);

// Bounds the lines a second, with a burst, and never waits for a reader that does
// not read: lines that cannot be written at once are counted and left out.
void setLogRateLimit(double linesPerSecond, double burst);

} // namespace almondscale
