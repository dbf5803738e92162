#include "Report/BurnReport.h"

#include "Core/RandomSource.h"
#include "Report/BurnRecorder.h"
#include "Report/ObjectiveLookup.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace almondscale;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int hosts = 3;

// Hosts that record random requests, with the raw events kept as the reference.
struct BurnReportFixture {
    std::vector<ObjectiveRule> rules {
        { ModelName("sorter"), Organisation("*"), milliseconds(500), milliseconds(40), 0.9, 4 },
        { ModelName("sorter"), Organisation("depot-1"), milliseconds(300), milliseconds(30), 0.99, 7 },
    };
    RandomSource random = seededRandom(11);
    WallTime now { seconds(1700000000) };
    std::vector<std::pair<int, RequestOutcome>> events;
    std::vector<std::unique_ptr<BurnRecorder>> recorders;

    BurnReportFixture() { addRecorders(50); }

    void addRecorders(std::size_t organisations)
    {
        recorders.clear();
        for (int i = 0; i < hosts; ++i)
            recorders.push_back(makeRecorder(i, 1, organisations));
    }

    std::unique_ptr<BurnRecorder> makeRecorder(int host, std::uint64_t incarnation, std::size_t organisations)
    {
        BurnOptions options;
        options.host = HostId("h" + std::to_string(host));
        options.incarnation = Incarnation(incarnation);
        options.organisationsPerModel = organisations;
        BurnHooks hooks;
        hooks.objective = [this](const ModelName& model, const Organisation& organisation) {
            return findObjective(rules, model, organisation);
        };
        return std::make_unique<BurnRecorder>(options, hooks);
    }

    void record(int requests, std::uint64_t organisations, std::uint64_t maxSecondsBetween)
    {
        for (int i = 0; i < requests; ++i) {
            now += seconds(static_cast<std::int64_t>(uniformBelow(random, maxSecondsBetween + 1)));
            RequestOutcome outcome;
            outcome.model = ModelName("sorter");
            outcome.organisation
                = Organisation("depot-" + std::to_string(uniformBelow(random, organisations)));
            outcome.finishedAt = now;
            outcome.completeInTime = uniformBelow(random, 20) != 0;
            outcome.firstToken = milliseconds(static_cast<std::int64_t>(uniformBelow(random, 600)));
            outcome.tokenGap = milliseconds(static_cast<std::int64_t>(uniformBelow(random, 45)));
            const auto host = static_cast<int>(uniformBelow(random, hosts));
            recorders[static_cast<std::size_t>(host)]->onFinished(outcome);
            events.emplace_back(host, outcome);
        }
    }

    // The expected counts, from the raw events.
    BurnCounts countEvents(
        const BurnWindow& window, const std::function<bool(const RequestOutcome&)>& matches) const
    {
        BurnCounts counts;
        const auto last = now.time_since_epoch() / window.bucketLength;
        for (const auto& [host, event] : events) {
            const auto bucket = event.finishedAt.time_since_epoch() / window.bucketLength;
            if (!matches(event) || bucket <= last - window.length / window.bucketLength)
                continue;
            const auto objective = *findObjective(rules, event.model, event.organisation);
            const bool first = event.firstToken > objective.firstToken;
            const bool gap = event.tokenGap > objective.tokenGap;
            ++counts.total;
            counts.firstTokenLate += first ? 1 : 0;
            counts.tokenGapLate += gap ? 1 : 0;
            counts.incomplete += event.completeInTime ? 0 : 1;
            counts.good += !first && !gap && event.completeInTime ? 1 : 0;
        }
        return counts;
    }

    // Encodes and decodes the summary on the way, as between hosts.
    void mergeSummaryOf(BurnReport& report, int host)
    {
        const auto text = encodeBurnSummary(recorders[static_cast<std::size_t>(host)]->summary(now));
        const auto summary = decodeBurnSummary(text);
        REQUIRE(summary);
        report.merge(*summary);
    }

    void mergeAllSummaries(BurnReport& report)
    {
        for (int host = 0; host < hosts; ++host)
            mergeSummaryOf(report, host);
    }
};

} // namespace

TEST_CASE_METHOD(
    BurnReportFixture, "BurnReport, random requests over two days, agrees with a count of the raw events")
{
    for (int round = 0; round < 8; ++round) {
        record(1500, 6, 30);
        BurnReport report;
        mergeAllSummaries(report);
        const auto rows = report.rows(now);
        CHECK(rows.size() == 6);
        for (const auto& row : rows) {
            CAPTURE(round, row.key.organisation.text());
            for (std::size_t i = 0; i < burnWindows.size(); ++i) {
                const auto expected = countEvents(burnWindows[i],
                    [&](const RequestOutcome& event) { return event.organisation == row.key.organisation; });
                CHECK(row.windows[i] == expected);
            }
            CHECK(row.objective.line == (row.key.organisation.text() == "depot-1" ? 7 : 4));
        }
    }
}

TEST_CASE_METHOD(
    BurnReportFixture, "BurnReport, host replaced by a new incarnation, keeps the last counts of both")
{
    record(300, 2, 1);
    BurnReport report;
    mergeAllSummaries(report);
    recorders[0] = makeRecorder(0, 2, 50);
    record(300, 2, 1);
    mergeAllSummaries(report);
    BurnCounts sum;
    for (const auto& row : report.rows(now))
        sum += row.windows[1];
    CHECK(sum == countEvents(burnWindows[1], [](const RequestOutcome&) { return true; }));
    CHECK(report.summaries().size() == 4);
}

TEST_CASE_METHOD(BurnReportFixture, "BurnReport, repeated and older summaries, change nothing")
{
    record(100, 2, 1);
    BurnReport report;
    const auto old = recorders[0]->summary(now);
    record(100, 2, 1);
    mergeAllSummaries(report);
    const auto before = report.renderJson(now);
    mergeAllSummaries(report);
    report.merge(old);
    CHECK(report.renderJson(now) == before);
}

TEST_CASE_METHOD(
    BurnReportFixture, "BurnReport, far more organisations than series, keeps the total and the series limit")
{
    addRecorders(10);
    record(20000, 14000, 0);
    BurnReport report;
    mergeAllSummaries(report);
    const auto summary = recorders[0]->summary(now);
    CHECK(summary.series.size() <= 11);
    BurnCounts sum;
    for (const auto& row : report.rows(now))
        sum += row.windows[0];
    CHECK(sum == countEvents(burnWindows[0], [](const RequestOutcome&) { return true; }));
}

TEST_CASE_METHOD(
    BurnReportFixture, "BurnRecorder, an organisation that becomes busy, gets a series of its own")
{
    addRecorders(10);
    record(3000, 200, 0);
    RequestOutcome busy;
    busy.model = ModelName("sorter");
    busy.organisation = Organisation("newcomer");
    busy.finishedAt = now;
    for (int i = 0; i < 500; ++i)
        recorders[0]->onFinished(busy);
    const auto summary = recorders[0]->summary(now);
    CHECK(summary.series.count({ ModelName("sorter"), Organisation("newcomer") }) == 1);
    CHECK(summary.series.size() <= 11);
}

TEST_CASE("BurnRow, 10% bad requests with a 90% target, has burn rate 1 and no budget left")
{
    BurnRow row;
    row.objective.target = 0.9;
    for (auto& window : row.windows) {
        window.total = 100;
        window.good = 90;
    }
    CHECK(row.burnRate(0) == Approx(1));
    CHECK(row.budgetLeft() == Approx(0).margin(1e-9));
}

TEST_CASE_METHOD(BurnReportFixture, "BurnReport, rendered as SVG, table and JSON, names every row and window")
{
    record(500, 3, 5);
    BurnReport report;
    mergeAllSummaries(report);
    const auto svg = report.renderSvg(now);
    const auto table = report.renderTable(now);
    const auto json = report.renderJson(now);
    for (const char* name : { "depot-0", "depot-1", "depot-2" }) {
        CHECK(svg.find(std::string(">sorter / ") + name + "<") != std::string::npos);
        CHECK(table.find(name) != std::string::npos);
        CHECK(json.find(std::string("\"organisation\":\"") + name) != std::string::npos);
    }
    for (const auto& window : burnWindows)
        CHECK(table.find(std::string("BURN ") + window.name) != std::string::npos);
}

TEST_CASE("BurnSummary, truncated or malformed text, is rejected")
{
    for (const char* text : { "", "host \"a\" 1", "series", "host \"a\" 1 5\nf 1 2 3 4 5 6\n",
             "host \"a\" 1 5\nseries \"m\" \"o\" \"m\" \"*\" 1 2 0.9\n", "host \"a\" 1 5\nx\n" }) {
        CAPTURE(text);
        CHECK_FALSE(decodeBurnSummary(text));
    }
}
