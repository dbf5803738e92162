#include "Bookings/BookingRecorder.h"

#include "Bookings/BookingClaim.h"
#include "Bookings/BookingClosing.h"
#include "Core/LogEvent.h"

#include <deque>
#include <mutex>
#include <utility>

namespace almondscale {

namespace {

    // So many calls are made to write an end before it is left for a later try.
    constexpr int callsPerClosing = 6;
    // Ends that wait beyond this number are dropped, the oldest first; their keys stay unknown.
    constexpr std::size_t maxOpenClosings = 1000;
    // One round tries so many ends, so that an outage does not hold it up for long.
    constexpr std::size_t closingsPerRound = 20;

} // namespace

class BookingRecorder::Impl {
public:
    Impl(Table table, HolderLive holderLive)
        : m_table(std::move(table))
        , m_holderLive(std::move(holderLive))
    {
    }

    BookingStart begin(const BookingRequest& request, const BookingHolder& holder)
    {
        BookingClaim claim(request, holder, m_holderLive);
        while (const auto call = claim.nextCall())
            claim.onAnswer(performCall(m_table, *call));
        const bool refused = claim.start().kind != BookingStart::Kind::Send;
        if (refused && claim.mayHaveLeftRow())
            keep(BookingClosing(request, holder, BookingState::Released, {}));
        return claim.start();
    }

    void close(BookingClosing closing)
    {
        if (!tryToWrite(closing))
            keep(std::move(closing));
    }

    void retry()
    {
        for (std::size_t i = 0; i < closingsPerRound; ++i) {
            auto closing = takeOldest();
            if (!closing)
                return;
            if (tryToWrite(*closing))
                continue;
            keep(std::move(*closing));
            return;
        }
    }

    std::size_t openClosings() const
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_closings.size();
    }

private:
    bool tryToWrite(BookingClosing& closing)
    {
        for (int i = 0; i < callsPerClosing; ++i) {
            const auto call = closing.nextCall();
            if (!call)
                return true;
            const auto answer = performCall(m_table, *call);
            closing.onAnswer(answer);
            // A table that does not answer is left alone until the next round.
            if (!answer.answered)
                return false;
        }
        return !closing.nextCall();
    }

    void keep(BookingClosing closing)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_closings.push_back(std::move(closing));
        if (m_closings.size() <= maxOpenClosings)
            return;
        m_closings.pop_front();
        LogEvent("booking_end_dropped", LogLevel::Warning).with("waiting", maxOpenClosings);
    }

    std::optional<BookingClosing> takeOldest()
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (m_closings.empty())
            return std::nullopt;
        auto closing = std::move(m_closings.front());
        m_closings.pop_front();
        return closing;
    }

    const Table m_table;
    const HolderLive m_holderLive;
    mutable std::mutex m_mutex;
    std::deque<BookingClosing> m_closings;
};

BookingRecorder::BookingRecorder(Table table, HolderLive holderLive)
    : m_impl(std::make_unique<Impl>(std::move(table), std::move(holderLive)))
{
}

BookingRecorder::~BookingRecorder() = default;

BookingStart BookingRecorder::begin(const BookingRequest& request, const BookingHolder& holder)
{
    return m_impl->begin(request, holder);
}

void BookingRecorder::answered(
    const BookingRequest& request, const BookingHolder& holder, const BookingAnswer& answer)
{
    m_impl->close(BookingClosing(request, holder, BookingState::Answered, answer));
}

void BookingRecorder::lost(const BookingRequest& request, const BookingHolder& holder)
{
    m_impl->close(BookingClosing(request, holder, BookingState::Lost, {}));
}

void BookingRecorder::released(const BookingRequest& request, const BookingHolder& holder)
{
    m_impl->close(BookingClosing(request, holder, BookingState::Released, {}));
}

void BookingRecorder::retryClosings() { m_impl->retry(); }

std::size_t BookingRecorder::openClosings() const { return m_impl->openClosings(); }

} // namespace almondscale
