#pragma once

#include "Core/MonotonicTime.h"

#include <deque>
#include <map>
#include <string>

namespace almondscale::standin {

// A list by id whose readers see each change only after a lag.
class HostList {
public:
    explicit HostList(Nanoseconds lag);

    // The entry is kept as the JSON text it was set with.
    void set(const std::string& id, const std::string& entry, MonotonicTime now);
    void remove(const std::string& id, MonotonicTime now);
    const std::map<std::string, std::string>& read(MonotonicTime now);

private:
    struct Change {
        MonotonicTime visibleAt {};
        std::string id;
        // Empty removes the entry.
        std::string entry;
    };

    Nanoseconds m_lag;
    std::deque<Change> m_changes;
    std::map<std::string, std::string> m_visible;
};

} // namespace almondscale::standin
