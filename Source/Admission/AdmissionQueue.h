#pragma once

#include "Admission/AdmissionOptions.h"
#include "Admission/AdmissionRefusal.h"
#include "Admission/WaitingRequest.h"

#include <memory>
#include <optional>
#include <vector>

namespace almondscale {

// The requests that wait at one host for the engines of one model pool. What
// cannot be answered in time is refused at once. Not thread-safe.
//
// The caller submits, then takes while engines have room, and sweeps after each
// submission and at least every 50 ms.
class AdmissionQueue {
public:
    explicit AdmissionQueue(AdmissionOptions);
    ~AdmissionQueue();
    AdmissionQueue(AdmissionQueue&&) noexcept;
    AdmissionQueue& operator=(AdmissionQueue&&) noexcept;

    // Queues the request, or says why it is refused.
    std::optional<AdmissionRefusal> submit(const WaitingRequest&, MonotonicTime now);

    // The request to send next; it stays queued until it is taken or removed.
    std::optional<WaitingRequest> next(MonotonicTime now) const;
    // The requests to try in turn, next() first, if the engines that suit some of
    // them are full.
    std::vector<WaitingRequest> upcoming(std::size_t most) const;
    // The request was sent to an engine.
    void take(const RequestId&, MonotonicTime now);
    // The caller has gone, or the request was answered otherwise.
    void remove(const RequestId&);
    // Refuses the requests that can no longer be answered in time.
    std::vector<AdmissionRefusal> sweep(MonotonicTime now);

    std::size_t size() const;
    ByteCount bytes() const;
    // How long a request of this priority and deadline would wait now.
    Nanoseconds expectedWait(Priority, Deadline, MonotonicTime now) const;
    // When a caller that was refused for this reason may usefully try again.
    MonotonicTime retryAt(Priority, MonotonicTime now) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
