#pragma once

#include <string>

namespace almondscale {

// Cuts a stream of server-sent events into whole events, so that what a broken
// backend server leaves unfinished never reaches the caller.
class EventCutter {
public:
    // Takes bytes as they arrive and returns the events that are whole now.
    std::string take(const char* data, std::size_t size);
    std::string take(const std::string& bytes) { return take(bytes.data(), bytes.size()); }

    // The id of the last whole event; empty before the first.
    const std::string& lastId() const { return m_lastId; }
    // Whether bytes of an unfinished event are left.
    bool unfinished() const { return !m_rest.empty(); }
    std::size_t unfinishedBytes() const { return m_rest.size(); }
    // Forgets an unfinished event, before the stream goes on at another server.
    void dropUnfinished() { m_rest.clear(); }

private:
    void noteIds(const std::string& events);

    std::string m_rest;
    std::string m_lastId;
};

} // namespace almondscale
