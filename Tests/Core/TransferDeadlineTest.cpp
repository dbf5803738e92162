#include "Core/TransferDeadline.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

class TransferDeadlineFixture {
public:
    // Receives as many bytes at a time; returns when the transfer is given up, or the limit.
    MonotonicTime receive(std::size_t bytes, Nanoseconds interval, Nanoseconds limit)
    {
        auto now = start + interval;
        for (; now < start + limit && !transfer.deadline().passed(now); now += interval)
            transfer.onBytes(bytes, now);
        return now < start + limit ? transfer.deadline().at() : start + limit;
    }

    MonotonicTime start { 100s };
    TransferDeadline transfer { Deadline::after(start, 300ms) };
};

} // namespace

TEST_CASE_METHOD(TransferDeadlineFixture, "Transfer without bytes ends when the first are due")
{
    CHECK(transfer.deadline() == Deadline::after(start, 300ms));
}

TEST_CASE_METHOD(TransferDeadlineFixture, "Transfer at an even rate, however long, goes on")
{
    CHECK(receive(16000, 250ms, 1000s) == start + 1000s);
}

TEST_CASE_METHOD(TransferDeadlineFixture, "Transfer of single bytes is given up")
{
    CHECK(receive(1, 100ms, 1000s) < start + 400ms);
}

TEST_CASE_METHOD(TransferDeadlineFixture, "Transfer whose bytes cease is given up after the longest pause")
{
    transfer.onBytes(1 << 20, start + 200ms);
    CHECK(transfer.deadline() == Deadline::after(start, 200ms + TransferDeadline::maxSilence));
}
