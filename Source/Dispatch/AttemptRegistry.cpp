#include "Dispatch/AttemptRegistry.h"

namespace almondscale {

AttemptRegistry::AttemptRegistry(const HostId& host, Incarnation incarnation)
    : m_prefix(host.text() + "-" + std::to_string(incarnation.count()) + "-")
{
}

AttemptId AttemptRegistry::start(const RequestId& request)
{
    AttemptId attempt(m_prefix + std::to_string(++m_count));
    m_requests.emplace(attempt, request);
    return attempt;
}

void AttemptRegistry::finish(const AttemptId& attempt) { m_requests.erase(attempt); }

std::optional<RequestId> AttemptRegistry::request(const AttemptId& attempt) const
{
    const auto found = m_requests.find(attempt);
    if (found == m_requests.end())
        return std::nullopt;
    return found->second;
}

} // namespace almondscale
