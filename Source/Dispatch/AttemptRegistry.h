#pragma once

#include "Admission/RequestId.h"
#include "Core/AttemptId.h"
#include "Core/HostId.h"
#include "Core/Incarnation.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace almondscale {

// Assigns ids to the attempts of this host and maps them to their requests. A late answer to
// a finished attempt maps to no request.
class AttemptRegistry {
public:
    AttemptRegistry(const HostId&, Incarnation);

    // Returns an id that is unique over all hosts and incarnations.
    AttemptId start(const RequestId&);
    void finish(const AttemptId&);
    std::optional<RequestId> request(const AttemptId&) const;
    std::size_t size() const { return m_requests.size(); }

private:
    std::string m_prefix;
    std::uint64_t m_count = 0;
    std::unordered_map<AttemptId, RequestId> m_requests;
};

} // namespace almondscale
