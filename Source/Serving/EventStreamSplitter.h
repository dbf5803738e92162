#pragma once

#include <string>

namespace almondscale {

// Cuts a stream of server-sent events into whole events, so that what a broken
// backend server leaves unfinished never reaches the caller.
class EventStreamSplitter {
public:
    // Takes bytes as they arrive and returns the events that are whole now.
    std::string append(const char* data, std::size_t size);
    std::string append(const std::string& bytes) { return append(bytes.data(), bytes.size()); }

    // The id of the last whole event; empty before the first.
    const std::string& lastId() const { return m_lastId; }
    // Whether bytes of an unfinished event are left.
    bool hasPartialEvent() const { return !m_partialEvent.empty(); }
    std::size_t partialEventBytes() const { return m_partialEvent.size(); }
    // Forgets an unfinished event, before the stream goes on at another server.
    void discardPartialEvent() { m_partialEvent.clear(); }

private:
    void updateLastId(const std::string& events);

    std::string m_partialEvent;
    std::string m_lastId;
};

} // namespace almondscale
