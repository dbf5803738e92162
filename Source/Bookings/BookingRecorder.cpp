#include "Bookings/BookingRecorder.h"

#include "Bookings/BookingClaim.h"
#include "Bookings/BookingOutcomeWriter.h"
#include "Core/LogEvent.h"

#include <deque>
#include <mutex>
#include <utility>

namespace almondscale {

namespace {

    // Table calls per try to write an outcome; after that it waits for the next retry.
    constexpr int maxCallsPerOutcomeWrite = 6;
    // Beyond this number the oldest pending write is dropped; the outcome of its booking then stays
    // unknown to repeats of the key.
    constexpr std::size_t maxPendingOutcomeWrites = 1000;
    // Limits the work of one retry, so that a table outage does not block it for long.
    constexpr std::size_t maxOutcomeWritesPerRetry = 20;

} // namespace

class BookingRecorder::Impl {
public:
    Impl(Table table, HolderLivenessCheck isHolderLive)
        : m_table(std::move(table))
        , m_isHolderLive(std::move(isHolderLive))
    {
    }

    BookingClaimResult claim(const BookingRequest& request, const BookingHolder& holder)
    {
        BookingClaim claim(request, holder, m_isHolderLive);
        while (const auto call = claim.nextCall())
            claim.onAnswer(performCall(m_table, *call));
        const bool refused = claim.result().kind != BookingClaimResult::Kind::Send;
        if (refused && claim.mayHaveLeftRow())
            enqueue(BookingOutcomeWriter(request, holder, BookingState::Released, {}));
        return claim.result();
    }

    void writeOutcome(BookingOutcomeWriter writer)
    {
        if (!tryWrite(writer))
            enqueue(std::move(writer));
    }

    void retryOutcomeWrites()
    {
        for (std::size_t i = 0; i < maxOutcomeWritesPerRetry; ++i) {
            auto writer = dequeue();
            if (!writer)
                return;
            if (tryWrite(*writer))
                continue;
            enqueue(std::move(*writer));
            return;
        }
    }

    std::size_t pendingOutcomeWrites() const
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_pendingWrites.size();
    }

private:
    bool tryWrite(BookingOutcomeWriter& writer)
    {
        for (int i = 0; i < maxCallsPerOutcomeWrite; ++i) {
            const auto call = writer.nextCall();
            if (!call)
                return true;
            const auto answer = performCall(m_table, *call);
            writer.onAnswer(answer);
            // Do not call an unresponsive table again until the next retry.
            if (!answer.answered)
                return false;
        }
        return !writer.nextCall();
    }

    void enqueue(BookingOutcomeWriter writer)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_pendingWrites.push_back(std::move(writer));
        if (m_pendingWrites.size() <= maxPendingOutcomeWrites)
            return;
        m_pendingWrites.pop_front();
        LogEvent("booking_end_dropped", LogLevel::Warning).with("waiting", maxPendingOutcomeWrites);
    }

    std::optional<BookingOutcomeWriter> dequeue()
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (m_pendingWrites.empty())
            return std::nullopt;
        auto writer = std::move(m_pendingWrites.front());
        m_pendingWrites.pop_front();
        return writer;
    }

    const Table m_table;
    const HolderLivenessCheck m_isHolderLive;
    mutable std::mutex m_mutex;
    std::deque<BookingOutcomeWriter> m_pendingWrites;
};

BookingRecorder::BookingRecorder(Table table, HolderLivenessCheck isHolderLive)
    : m_impl(std::make_unique<Impl>(std::move(table), std::move(isHolderLive)))
{
}

BookingRecorder::~BookingRecorder() = default;

BookingClaimResult BookingRecorder::claim(const BookingRequest& request, const BookingHolder& holder)
{
    return m_impl->claim(request, holder);
}

void BookingRecorder::answered(
    const BookingRequest& request, const BookingHolder& holder, const BookingAnswer& answer)
{
    m_impl->writeOutcome(BookingOutcomeWriter(request, holder, BookingState::Answered, answer));
}

void BookingRecorder::lost(const BookingRequest& request, const BookingHolder& holder)
{
    m_impl->writeOutcome(BookingOutcomeWriter(request, holder, BookingState::Lost, {}));
}

void BookingRecorder::released(const BookingRequest& request, const BookingHolder& holder)
{
    m_impl->writeOutcome(BookingOutcomeWriter(request, holder, BookingState::Released, {}));
}

void BookingRecorder::retryOutcomeWrites() { m_impl->retryOutcomeWrites(); }

std::size_t BookingRecorder::pendingOutcomeWrites() const { return m_impl->pendingOutcomeWrites(); }

} // namespace almondscale
