#pragma once

#include "Admission/RequestId.h"
#include "Core/AttemptId.h"
#include "Core/HostId.h"
#include "Core/Incarnation.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace almondscale {

// Names the attempts of this host and says which request each belongs to, so
// that an answer to an attempt which has ended reaches nobody.
class AttemptRegistry {
public:
    AttemptRegistry(const HostId&, Incarnation);

    // An id that no attempt of any host or incarnation had before.
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
