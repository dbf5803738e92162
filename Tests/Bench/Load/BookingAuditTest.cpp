#include "Load/BookingAudit.h"

#include <catch2/catch.hpp>

using namespace almondscale;

namespace {

class BookingAuditFixture {
protected:
    void answered(const std::string& key)
    {
        CallOutcome outcome;
        outcome.kind = CallOutcome::Kind::Complete;
        m_audit.onOutcome(BookingKey(key), outcome);
    }

    void refused(const std::string& key, const std::string& run)
    {
        CallOutcome outcome;
        outcome.kind = CallOutcome::Kind::Refused;
        outcome.run = run;
        m_audit.onOutcome(BookingKey(key), outcome);
    }

    BookingAudit m_audit;
};

} // namespace

TEST_CASE_METHOD(BookingAuditFixture, "Booking, run twice, is doubled whatever its caller was told", "[load]")
{
    answered("a");
    refused("b", "unknown");
    const auto verdict = m_audit.judge({ { "a", 2 }, { "b", 2 } });
    CHECK(verdict.doubled == 2);
    CHECK(verdict.run == 2);
}

TEST_CASE_METHOD(BookingAuditFixture, "Booking, answered and not run, is lost", "[load]")
{
    answered("a");
    refused("b", "unknown");
    const auto verdict = m_audit.judge({});
    CHECK(verdict.lost == 1);
    CHECK(verdict.sent == 2);
}

TEST_CASE_METHOD(BookingAuditFixture, "Refusal, that says not run of a booking that ran, is untrue", "[load]")
{
    refused("a", "no");
    refused("b", "no");
    refused("b", "unknown");
    refused("c", "no");
    answered("c");
    const auto verdict = m_audit.judge({ { "a", 1 }, { "b", 1 }, { "c", 1 } });
    CHECK(verdict.untrue == 1);
    CHECK(verdict.faults.size() == 1);
}
