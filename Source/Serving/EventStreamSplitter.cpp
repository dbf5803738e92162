#include "Serving/EventStreamSplitter.h"

#include <algorithm>
#include <array>

namespace almondscale {

namespace {

    // The end of the last complete event in the text, or 0.
    std::size_t endOfCompleteEvents(const std::string& text)
    {
        static constexpr std::array<const char*, 3> blankLines { "\n\n", "\r\n\r\n", "\r\r" };
        std::size_t end = 0;
        for (const std::string blank : blankLines) {
            const auto found = text.rfind(blank);
            if (found != std::string::npos)
                end = std::max(end, found + blank.size());
        }
        return end;
    }

    std::size_t countEvents(const std::string& events)
    {
        std::size_t count = 0;
        // An event that ends with a blank line of two carriage returns is not counted.
        for (const std::string blank : { "\n\n", "\n\r\n" }) {
            for (auto at = events.find(blank); at != std::string::npos;
                 at = events.find(blank, at + blank.size()))
                ++count;
        }
        return count;
    }

} // namespace

std::string EventStreamSplitter::append(const char* data, std::size_t size)
{
    m_partialEvent.append(data, size);
    const auto end = endOfCompleteEvents(m_partialEvent);
    std::string events = m_partialEvent.substr(0, end);
    m_partialEvent.erase(0, end);
    updateLastId(events);
    m_eventCount += countEvents(events);
    return events;
}

void EventStreamSplitter::updateLastId(const std::string& events)
{
    auto line = events.rfind("id:");
    while (line != std::string::npos && line > 0 && events[line - 1] != '\n' && events[line - 1] != '\r')
        line = events.rfind("id:", line - 1);
    if (line == std::string::npos)
        return;
    const auto begin = events.find_first_not_of(' ', line + 3);
    const auto end = events.find_first_of("\r\n", begin);
    m_lastId = events.substr(begin, end - begin);
}

} // namespace almondscale
