#include "UsageFleet.h"

#include <array>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

class UsageFleetFixture : public UsageFleet {
public:
    UsageFleetFixture()
        : UsageFleet(4)
    {
    }

    void serveFor(Nanoseconds time)
    {
        runFor(time, [this] {
            for (std::size_t i = 0; i < hosts.size(); ++i)
                count(i, "org" + std::to_string((i + stepCount()) % 5));
        });
    }

    // Runs until the time after the end of the current window.
    void serveUntilAfterWindow(Nanoseconds time)
    {
        const auto at = bounds.endOf(bounds.windowAt(trueNow())) + time;
        serveFor(at - trueNow());
    }

    // Another host becomes the holder once the lease has expired, which takes up to 7 s.
    void handOver(std::size_t to)
    {
        holder.reset();
        serveFor(7s);
        takeOver(to);
    }

    void finish()
    {
        store.fault = FakeUsageStore::Fault::None;
        status = 200;
        runFor(40s);
    }

    void checkReports()
    {
        finish();
        for (const auto& entry : truth) {
            INFO("window " << entry.first);
            REQUIRE(reports.count(entry.first) == 1);
            CHECK(reports[entry.first].first == expectedBody(entry.first));
        }
    }

    std::uint64_t reportedRequests()
    {
        std::uint64_t sum = 0;
        for (const auto& entry : reports) {
            const auto& body = entry.second.first;
            for (auto at = body.find(':'); at != std::string::npos; at = body.find(':', at + 1))
                sum += std::stoul(body.substr(at + 1));
        }
        return sum;
    }

    std::uint64_t countedRequests() const
    {
        std::uint64_t sum = 0;
        for (const auto& window : truth) {
            for (const auto& entry : window.second)
                sum += entry.second;
        }
        return sum;
    }

    // The latest arrival of a report after the end of its window.
    Nanoseconds latest() const
    {
        Nanoseconds worst {};
        for (const auto& [window, report] : reports)
            worst = std::max(worst, report.second - bounds.endOf(window));
        return worst;
    }
};

} // namespace

// Guards against polling of the store, whose calls are charged.
TEST_CASE_METHOD(UsageFleetFixture, "Calm window costs one write of the reader, a read, a write and a report")
{
    serveUntilAfterWindow(4s);
    store.reads = store.writes = posts = 0;
    serveFor(10 * bounds.window);
    CHECK(store.reads == 10);
    CHECK(store.writes == 20);
    CHECK(posts == 10);
    CHECK(latest() < 4s);
    checkReports();
    CHECK(store.rows.size() <= 2);
}

// Guards against two bodies for one window when the holder is lost at any step, and against late successors.
TEST_CASE_METHOD(
    UsageFleetFixture, "Holder lost before the row, after it or after the call, is continued in time")
{
    takeOver(1);
    const auto [platform, lostAfter]
        = GENERATE(std::pair(200, 2550ms), std::pair(-1, 2700ms), std::pair(0, 2700ms));
    serveUntilAfterWindow(1s);
    status = platform;
    serveFor(lostAfter - 1s);
    status = 200;
    handOver(2);
    serveFor(8s);
    CHECK(latest() < bounds.due);
    checkReports();
}

// Guards against reports out of order when a suspended holder gets the lease again after its successor.
TEST_CASE_METHOD(
    UsageFleetFixture, "Holder suspended between row and call, and again holder later, repeats nothing else")
{
    takeOver(1);
    serveUntilAfterWindow(2s);
    status = -1;
    serveFor(2s);
    status = 200;
    handOver(2);
    serveFor(6s);
    handOver(1);
    serveFor(6s);
    checkReports();
}

// Guards against reports sent without a stored body, and against records lost while the store is away.
TEST_CASE_METHOD(
    UsageFleetFixture, "Store that is down, refuses or loses responses, delays reports and changes none")
{
    store.fault = GENERATE(
        FakeUsageStore::Fault::Down, FakeUsageStore::Fault::Refuses, FakeUsageStore::Fault::LosesResponses);
    const bool lossy = store.fault == FakeUsageStore::Fault::LosesResponses;
    const auto span = GENERATE(3s, 23s);
    serveFor(span);
    if (!lossy)
        CHECK(reports.empty());
    store.fault = FakeUsageStore::Fault::None;
    serveFor(10s);
    checkReports();
    CHECK(hosts[0]->late.empty() == (lossy || span == 3s));
}

// Guards against a second body of a reported window after the store has lost rows.
TEST_CASE_METHOD(UsageFleetFixture, "Store restored from an older copy, gets the same bodies again")
{
    serveUntilAfterWindow(3s);
    const auto copy = store.rows;
    status = -1;
    serveFor(9s);
    restoreStore(copy);
    status = 200;
    serveFor(10s);
    checkReports();
}

// Guards against counts that are lost because a restore of the store took rows whose writer is gone.
TEST_CASE_METHOD(
    UsageFleetFixture, "Records that a lost reader had stored are written again after a restore of the store")
{
    takeOver(1);
    const auto serveByOthers = [this](Nanoseconds time) {
        runFor(time, [this] {
            for (std::size_t i = 1; i < hosts.size(); ++i)
                count(i, "org");
        });
    };
    serveByOthers(bounds.endOf(bounds.windowAt(trueNow())) + 1s - trueNow());
    const auto copy = store.rows;
    serveByOthers(1400ms);
    REQUIRE(store.rows.size() == copy.size() + hosts.size() - 1);
    restart(0);
    restoreStore(copy);
    serveByOthers(10s);
    checkReports();
}

// Guards against the loss of a reader's own records, of which the host that stands in for it has the only
// copy.
TEST_CASE_METHOD(UsageFleetFixture,
    "Record confirmed by a reader is written by its other holder after a restore of the store")
{
    UsageCollector other(bounds);
    const auto end = bounds.endOf(bounds.windowAt(trueNow()));
    const UsageRecord record { { HostId("reader"), Incarnation(1), bounds.windowAt(trueNow()) },
        { { Organisation("a"), 2 } }, true };
    other.add(record);
    other.noteStoredByReader(record.id);
    CHECK(other.nextWrite(now(), end + 3s, false).empty());
    other.onStoreRestored(now(), std::nullopt);
    CHECK(other.nextWrite(now() + 700ms, end + 3s, false).empty());
    CHECK(other.nextWrite(now() + 800ms, end + 3s, false).size() == 1);
}

// Guards against a second report of a window, with other counts, by a holder that knows no more than the
// older rows.
TEST_CASE_METHOD(
    UsageFleetFixture, "Window reported before a restore of the store is not reported again by a new holder")
{
    enum class Knowledge { Host, OtherHosts, Nobody };
    const auto knowledge = GENERATE(Knowledge::Host, Knowledge::OtherHosts, Knowledge::Nobody);
    takeOver(1);
    serveUntilAfterWindow(4s);
    serveUntilAfterWindow(1s);
    const auto copy = store.rows;
    const auto reported = bounds.windowAt(trueNow()) - UsageWindow(1);
    // The rows of the window are written, and its report is accepted.
    serveFor(2s);
    REQUIRE(reports.count(reported) == 1);
    restart(1);
    if (knowledge == Knowledge::Host)
        restart(0);
    for (std::size_t i = 0; knowledge == Knowledge::Nobody && i < hosts.size(); ++i)
        restart(i);
    restoreStore(copy);
    holder.reset();
    serveFor(4s);
    takeOver(knowledge == Knowledge::Host ? 2 : 1);
    serveFor(12s);
    finish();
    CHECK(reports.rbegin()->first >= reported + UsageWindow(4));
    // Without knowledge, the windows that ended before it became the holder are left out too.
    CHECK(reports.count(reported + UsageWindow(1)) == (knowledge == Knowledge::Nobody ? 0 : 1));
}

// Guards against a holder that forgets what it sent when it gets the lease again after a restore of the
// store.
TEST_CASE_METHOD(UsageFleetFixture,
    "Holder that gets the lease again after a restore of the store repeats its last report")
{
    takeOver(1);
    serveUntilAfterWindow(4s);
    serveUntilAfterWindow(1s);
    const auto copy = store.rows;
    status = 0;
    serveFor(2s);
    REQUIRE(reports.size() == 2);
    restoreStore(copy);
    status = 200;
    handOver(1);
    serveFor(8s);
    checkReports();
}

// Guards against a successor that starts to report before it could hear what its predecessor sent.
TEST_CASE_METHOD(UsageFleetFixture,
    "New holder without links after a restore of the store waits for what other hosts know")
{
    takeOver(1);
    serveUntilAfterWindow(4s);
    serveUntilAfterWindow(1s);
    const auto copy = store.rows;
    serveFor(2s);
    const auto reported = reports.rbegin()->first;
    restart(1);
    hosts[1]->hearsHosts = false;
    restoreStore(copy);
    holder.reset();
    serveFor(6s);
    takeOver(1);
    serveFor(1s);
    CHECK(reports.rbegin()->first == reported);
    hosts[1]->hearsHosts = true;
    serveFor(500ms);
    CHECK(reports.rbegin()->first > reported);
    CHECK(leftOut == std::set<UsageWindow> { reported });
}

// Guards against reports that are skipped or sent out of order after an outage of the platform.
TEST_CASE_METHOD(
    UsageFleetFixture, "Backlog of ten windows is sent in order, and each is logged as late once")
{
    status = GENERATE(503, 429, -1, 0);
    serveFor(10 * bounds.window);
    // The platform that loses its responses got the first report.
    CHECK(reports.size() == (status == 0 ? 1 : 0));
    CHECK(posts < 60);
    CHECK(hosts[0]->reporter.backlog(trueNow()) == 10);
    status = 200;
    serveFor(6s);
    CHECK(hosts[0]->reporter.backlog(trueNow()) <= 1);
    checkReports();
    CHECK(hosts[0]->late.size() == 8);
    CHECK(hosts[0]->late.front() == UsageReporter::LateReason::Platform);
}

// Guards against one refused report holding up all later ones.
TEST_CASE_METHOD(UsageFleetFixture, "Report that is refused three times is skipped")
{
    status = 400;
    serveUntilAfterWindow(4s);
    CHECK(posts == 3);
    CHECK(reports.empty());
    status = 200;
    serveFor(bounds.window);
    CHECK(reports.size() == 1);
}

// Guards against counts that move to another window while a wall clock is wrong for a while.
TEST_CASE_METHOD(UsageFleetFixture, "Wall clock that jumps and comes back, moves no count")
{
    serveFor(40s);
    hosts[GENERATE(0, 1)]->clockError = GENERATE(3s, -3s);
    serveFor(15s);
    for (auto& host : hosts)
        host->clockError = {};
    serveFor(20s);
    checkReports();
}

// Guards against requests that are lost since a host closes or the holder reads a window too early or late.
TEST_CASE_METHOD(UsageFleetFixture, "Hosts whose clocks differ by two seconds lose no request")
{
    takeOver(1);
    serveUntilAfterWindow(4s);
    auto& wrong = *hosts[GENERATE(0, 1, 3)];
    wrong.clockError = GENERATE(2s, -2s);
    wrong.time = TrueTime();
    wrong.time.observe(now(), trueNow() + wrong.clockError);
    serveFor(41s);
    finish();
    CHECK(reportedRequests() == countedRequests());
}

// Guards against writes that the store refuses for their size, and against rows that are never removed.
TEST_CASE_METHOD(
    UsageFleetFixture, "Records of 250 hosts are written and removed within the limit of a write")
{
    while (hosts.size() < 250)
        hosts.push_back(std::make_unique<Host>(static_cast<int>(hosts.size()), *this));
    serveFor(31s);
    checkReports();
    CHECK(store.rows.size() <= 2);
}

// Guards against orders of events that no other case has: every seed draws its own faults.
TEST_CASE_METHOD(UsageFleetFixture, "Random faults of store, platform and holders change no count")
{
    using Fault = FakeUsageStore::Fault;
    std::mt19937_64 random(GENERATE(range(1, 61)));
    const auto draw = [&random](std::size_t below) { return static_cast<std::size_t>(random() % below); };
    for (int i = 0; i < 30; ++i) {
        const std::array faults { Fault::None, Fault::None, Fault::Down, Fault::LosesResponses,
            Fault::Refuses };
        const std::array statuses { 200, 200, 0, -1, 503, 429 };
        store.fault = faults[draw(faults.size())];
        status = statuses[draw(statuses.size())];
        if (draw(4) == 0)
            takeOver(draw(hosts.size()));
        serveFor(draw(60) * step);
    }
    checkReports();
}

// Guards against orders of events that no other case has, and in which the store loses rows.
TEST_CASE_METHOD(
    UsageFleetFixture, "Random restores of the store and restarts of hosts report no window with two bodies")
{
    std::mt19937_64 random(GENERATE(range(1, 41)));
    const auto draw = [&random](std::size_t below) { return static_cast<std::size_t>(random() % below); };
    const std::array statuses { 200, 200, 200, 0, -1 };
    std::vector<std::map<FakeUsageStore::Key, UsageRow>> copies;
    for (int i = 0; i < 40; ++i) {
        copies.push_back(store.rows);
        status = statuses[draw(statuses.size())];
        serveFor(draw(40) * step);
        bool holderIsLost = false;
        for (std::size_t host = 0; host < hosts.size(); ++host) {
            if (draw(host == holder ? 4 : 20) > 0)
                continue;
            restart(host);
            holderIsLost = holderIsLost || host == holder;
        }
        if (draw(4) == 0)
            restoreStore(copies[copies.size() - 1 - draw(std::min<std::size_t>(4, copies.size()))]);
        if (holderIsLost || draw(8) == 0) {
            holder.reset();
            serveFor(3s);
            takeOver(draw(hosts.size()));
        }
    }
    finish();
    CHECK(reports.size() > 5);
}

// Guards against requests that are counted twice or not at all when their evidence comes late.
TEST_CASE_METHOD(
    UsageFleetFixture, "Request seen late counts in the window in which it began, or in the next open one")
{
    const Organisation org("a");
    serveUntilAfterWindow(1800ms);
    const auto window = bounds.windowAt(trueNow()) - UsageWindow(1);
    hosts[1]->meter.onRunBegan(org, bounds.endOf(window) - 10ms, trueNow());
    ++truth[window][org];
    serveFor(300ms);
    hosts[1]->meter.onRunBegan(org, bounds.endOf(window) - 10ms, trueNow());
    ++truth[window + UsageWindow(1)][org];
    serveFor(10s);
    checkReports();
}

// Guards against lost records of a host whose reader takes them and does not store them.
TEST_CASE_METHOD(
    UsageFleetFixture, "Host whose reader does not confirm its record writes it, and both copies merge")
{
    UsageCollector reader(bounds);
    UsageCollector follower(bounds);
    const auto end = bounds.endOf(bounds.windowAt(trueNow()));
    UsageRecord record { { HostId("f"), Incarnation(1), bounds.windowAt(trueNow()) }, {}, false };
    record.counts[Organisation("a")] = 2;
    reader.add(record);
    record.counts[Organisation("b")] = 1;
    record.closed = true;
    follower.add(record);
    CHECK(follower.nextWrite(now(), end + 2300ms, false).empty());
    follower.onWritten(now(), store.write(follower.nextWrite(now(), end + 2500ms, false)));
    reader.onWritten(now(), store.write(reader.nextWrite(now(), end + 2300ms, true)));
    CHECK(reader.nextWrite(now() + 1s, end + 3300ms, true).empty());
    REQUIRE(store.rows.size() == 1);
    CHECK(store.rows.begin()->second.counts == record.counts);
    std::uint64_t position = 0;
    CHECK(reader.storedSince({ HostId("f") }, position).empty());
    reader.add(record);
    CHECK(reader.storedSince({ HostId("f") }, position).size() == 1);
}
