#include "Admission/AdmissionQueue.h"
#include "Core/RandomSource.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <queue>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

// The results of one run.
struct Outcome {
    std::map<Priority, int> sent;
    std::map<Priority, int> inTime;
    int late = 0;
    int refused = 0;
    int refusedTooLate = 0;

    int total() const
    {
        int sum = 0;
        for (const auto& [priority, count] : inTime)
            sum += count;
        return sum;
    }
};

// Simulates an engine pool with a fixed number of slots and one queue, with a fake clock.
class AdmissionFixture {
public:
    explicit AdmissionFixture(std::uint64_t seed)
        : m_random(seededRandom(seed))
    {
    }

    // The load is relative to the capacity of the slots.
    Outcome run(double load, Nanoseconds length)
    {
        const double arrivalsPerSecond = load * slots / meanServiceSeconds;
        MonotonicTime arrival {};
        while (m_now.time_since_epoch() < length) {
            arrival += seconds(-std::log(1 - uniform(m_random)) / arrivalsPerSecond);
            advanceTo(arrival);
            submit();
        }
        return m_outcome;
    }

private:
    static constexpr int slots = 32;
    static constexpr double meanServiceSeconds = 0.6;

    struct Request {
        Priority priority;
        Deadline deadline;
        Nanoseconds actual {};
    };

    static Nanoseconds seconds(double time)
    {
        return std::chrono::duration_cast<Nanoseconds>(std::chrono::duration<double>(time));
    }

    void advanceTo(MonotonicTime until)
    {
        while (!m_ends.empty() && m_ends.top() <= until) {
            m_now = m_ends.top();
            m_ends.pop();
            pump();
        }
        m_now = until;
    }

    void submit()
    {
        const double expected = meanServiceSeconds * (0.5 + uniform(m_random));
        const double actual = expected * (0.8 + 0.4 * uniform(m_random));
        const int draw = static_cast<int>(uniformBelow(m_random, 10));
        const Priority priority(draw < 5 ? 0 : draw < 8 ? 1 : 2);
        WaitingRequest request;
        request.id = RequestId(std::to_string(++m_count));
        request.priority = priority;
        request.deadline = Deadline::after(m_now, seconds(1.5 + 2 * uniform(m_random)));
        request.bytes = ByteCount(1000);
        request.serviceTime = seconds(expected);
        request.work = seconds(expected / slots);
        m_requests[request.id] = { priority, request.deadline, seconds(actual) };
        ++m_outcome.sent[priority];
        if (m_queue.submit(request, m_now))
            ++m_outcome.refused;
        pump();
    }

    void pump()
    {
        for (const auto& refusal : m_queue.sweep(m_now)) {
            ++m_outcome.refused;
            // A refusal is useful to the caller only before the deadline.
            m_outcome.refusedTooLate += m_requests[refusal.id].deadline.passed(m_now) ? 1 : 0;
        }
        while (m_ends.size() < slots) {
            const auto next = m_queue.next(m_now);
            if (!next)
                return;
            m_queue.take(next->id, m_now);
            const auto& request = m_requests[next->id];
            const auto end = m_now + request.actual;
            m_ends.push(end);
            if (end < request.deadline.at())
                ++m_outcome.inTime[request.priority];
            else
                ++m_outcome.late;
        }
    }

    RandomSource m_random;
    AdmissionQueue m_queue { AdmissionOptions {} };
    MonotonicTime m_now {};
    std::priority_queue<MonotonicTime, std::vector<MonotonicTime>, std::greater<>> m_ends;
    std::map<RequestId, Request> m_requests;
    Outcome m_outcome;
    int m_count = 0;
};

WaitingRequest waiting(const char* id, int priority, Deadline deadline)
{
    WaitingRequest request;
    request.id = RequestId(id);
    request.priority = Priority(priority);
    request.deadline = deadline;
    request.bytes = ByteCount(100);
    request.serviceTime = 1s;
    request.work = 1s;
    return request;
}

constexpr MonotonicTime start { 1000s };

} // namespace

TEST_CASE("AdmissionQueue, a load of twice the capacity, answers at least 95 percent as many in time")
{
    const auto seed = GENERATE(1, 2, 3);
    const auto atCapacity = AdmissionFixture(seed).run(1, 120s);
    const auto overloaded = AdmissionFixture(seed).run(2, 120s);
    INFO("seed " << seed << ": in time " << atCapacity.total() << " at capacity, " << overloaded.total()
                 << " at twice; late " << overloaded.late << ", refused " << overloaded.refused);
    CHECK(overloaded.total() >= 0.95 * atCapacity.total());
    CHECK(overloaded.refusedTooLate == 0);
    // Each of the three priorities has a third of the fair share, which is a fifth of the capacity.
    for (const auto& [priority, sent] : overloaded.sent) {
        CAPTURE(priority, sent);
        CHECK(overloaded.inTime.at(priority) >= overloaded.total() * 0.2 / 3 / 2);
    }
}

TEST_CASE("AdmissionQueue, a request that cannot finish in time, is refused immediately with a retry time")
{
    AdmissionQueue queue { AdmissionOptions {} };
    const auto refusal = queue.submit(waiting("a", 0, Deadline(start + 900ms)), start);
    REQUIRE(refusal);
    CHECK(refusal->kind == ErrorKind::DeadlineUnreachable);
    CHECK(refusal->retryAt > start);
    CHECK(queue.size() == 0);
}

TEST_CASE("AdmissionQueue, a waiting request whose deadline has become unreachable, is removed by sweep")
{
    AdmissionQueue queue { AdmissionOptions {} };
    REQUIRE_FALSE(queue.submit(waiting("a", 0, Deadline(start + 2s)), start));
    CHECK(queue.sweep(start).empty());
    const auto refusals = queue.sweep(start + 1s);
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].id == RequestId("a"));
    CHECK(queue.size() == 0);
    CHECK(queue.bytes() == ByteCount(0));
}

TEST_CASE("AdmissionQueue, full by number or by bytes, refuses requests until there is room")
{
    AdmissionOptions options;
    options.initialWorkPerSecond = 1000;
    options.maxRequests = 2;
    const bool byBytes = GENERATE(false, true);
    if (byBytes) {
        options.maxRequests = 100;
        options.maxBytes = ByteCount(250);
    }
    AdmissionQueue queue { options };
    REQUIRE_FALSE(queue.submit(waiting("a", 0, Deadline::never()), start));
    REQUIRE_FALSE(queue.submit(waiting("b", 0, Deadline::never()), start));
    const auto refusal = queue.submit(waiting("c", 5, Deadline::never()), start);
    REQUIRE(refusal);
    CHECK(refusal->kind == ErrorKind::QueueFull);
    queue.remove(RequestId("a"));
    CHECK_FALSE(queue.submit(waiting("c", 5, Deadline::never()), start));
}

TEST_CASE("AdmissionQueue, requests, are taken by priority and then by deadline")
{
    AdmissionOptions options;
    options.fairShare = 0;
    AdmissionQueue queue { options };
    REQUIRE_FALSE(queue.submit(waiting("low", 0, Deadline::never()), start));
    REQUIRE_FALSE(queue.submit(waiting("later", 1, Deadline(start + 60s)), start));
    REQUIRE_FALSE(queue.submit(waiting("sooner", 1, Deadline(start + 30s)), start));
    const auto upcoming = queue.upcoming(2);
    REQUIRE(upcoming.size() == 2);
    CHECK(upcoming[0].id == RequestId("sooner"));
    CHECK(upcoming[1].id == RequestId("later"));
    CHECK(queue.upcoming(9).back().id == RequestId("low"));
    for (const char* expected : { "sooner", "later", "low" }) {
        const auto next = queue.next(start);
        REQUIRE(next);
        CHECK(next->id == RequestId(expected));
        queue.take(next->id, start);
    }
    CHECK_FALSE(queue.next(start));
}
