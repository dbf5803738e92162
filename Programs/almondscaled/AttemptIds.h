#pragma once

#include "Core/AttemptId.h"
#include "Core/HostId.h"
#include "Core/Incarnation.h"

#include <atomic>
#include <string>

namespace almondscale {

// Makes ids of requests and attempts that no other host or start of this host makes.
class AttemptIds {
public:
    AttemptIds(const HostId& host, Incarnation incarnation)
        : m_prefix(host.text() + "-" + std::to_string(incarnation.count()) + "-")
    {
    }

    std::string next() { return m_prefix + std::to_string(++m_count); }

private:
    std::string m_prefix;
    std::atomic<std::uint64_t> m_count { 0 };
};

} // namespace almondscale
