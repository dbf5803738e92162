#pragma once

#include "Core/Deadline.h"

#include <cstddef>

namespace almondscale {

// Until when a transfer whose size is not known may go on: as long as its bytes come at a minimum rate and
// without a long pause.
class TransferDeadline {
public:
    // The longest pause.
    static constexpr Nanoseconds maxSilence = std::chrono::seconds(1);

    TransferDeadline() = default;
    // The first bytes are due by the deadline.
    explicit TransferDeadline(Deadline first)
        : m_deadline(first)
    {
    }

    void onBytes(std::size_t count, MonotonicTime now);
    // When the next bytes are due.
    Deadline deadline() const { return m_deadline; }

private:
    Deadline m_deadline;
};

} // namespace almondscale
