#pragma once

#include "Admission/AdmissionOptions.h"
#include "Admission/AdmissionRefusal.h"
#include "Admission/WaitingRequest.h"

#include <memory>
#include <optional>
#include <vector>

namespace almondscale {

// The queue of one host for the engines of one model pool. Requests that cannot be answered in time
// are refused immediately. Not thread-safe.
//
// The owner submits requests, takes them while engines have room, and calls sweep() after each
// submission and at least every 50 ms.
class AdmissionQueue {
public:
    explicit AdmissionQueue(AdmissionOptions);
    ~AdmissionQueue();
    AdmissionQueue(AdmissionQueue&&) noexcept;
    AdmissionQueue& operator=(AdmissionQueue&&) noexcept;

    // Queues the request, or returns why it is refused: DeadlineUnreachable or QueueFull.
    std::optional<AdmissionRefusal> submit(const WaitingRequest&, MonotonicTime now);

    // The request to send next. It stays queued until take() or remove().
    std::optional<WaitingRequest> next(MonotonicTime now) const;
    // The first requests in the order of sending, starting with next(). Used when the engines
    // suitable for some of them are full.
    std::vector<WaitingRequest> upcoming(std::size_t most) const;
    // Removes a request that was sent to an engine and counts its work as throughput.
    void take(const RequestId&, MonotonicTime now);
    // Removes a request whose caller disconnected or that was answered otherwise.
    void remove(const RequestId&);
    // Removes and returns the requests that can no longer be answered in time.
    std::vector<AdmissionRefusal> sweep(MonotonicTime now);

    std::size_t size() const;
    ByteCount bytes() const;
    // The estimated queueing time of a request with this priority and deadline.
    Nanoseconds expectedWait(Priority, Deadline, MonotonicTime now) const;
    // The earliest time at which a refused request of this priority is worth retrying.
    MonotonicTime retryAt(Priority, MonotonicTime now) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
