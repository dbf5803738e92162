#pragma once

#include <string>

namespace almondscale {

// Splits a byte stream into complete server-sent events, so that a partial event of a failed backend server
// never reaches the caller.
class EventStreamSplitter {
public:
    // Appends received bytes and returns the events that are complete now.
    std::string append(const char* data, std::size_t size);
    std::string append(const std::string& bytes) { return append(bytes.data(), bytes.size()); }

    // The number of complete events.
    std::size_t eventCount() const { return m_eventCount; }
    // The id of the last complete event; empty before the first.
    const std::string& lastId() const { return m_lastId; }
    // Whether bytes of an incomplete event are buffered.
    bool hasPartialEvent() const { return !m_partialEvent.empty(); }
    std::size_t partialEventBytes() const { return m_partialEvent.size(); }
    // Discards an incomplete event before the stream continues from another server.
    void discardPartialEvent() { m_partialEvent.clear(); }

private:
    void updateLastId(const std::string& events);

    std::string m_partialEvent;
    std::string m_lastId;
    std::size_t m_eventCount = 0;
};

} // namespace almondscale
