#pragma once

#include "Serving/TrueTime.h"
#include "Serving/UsageCollector.h"
#include "Serving/UsageMeter.h"
#include "Serving/UsageReporter.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <tuple>

namespace almondscale {

// A store of usage rows with the platform's rules for writes, and with faults.
class FakeUsageStore {
public:
    enum class Fault {
        None,
        Down,
        // The write is applied, and its response is lost.
        LosesResponses,
        Refuses,
    };

    std::optional<std::vector<UsageRow>> read(std::optional<UsageWindow> from, UsageWindow before)
    {
        ++reads;
        if (fault == Fault::Down || fault == Fault::Refuses)
            return std::nullopt;
        std::vector<UsageRow> found;
        for (const auto& [key, row] : rows) {
            const bool progress = row.kind == UsageRow::Kind::Progress;
            if (progress ? !from : row.id.window < before && (!from || *from <= row.id.window))
                found.push_back(row);
        }
        return found;
    }

    UsageRowsWritten write(const std::vector<UsageRow>& writes)
    {
        ++this->writes;
        // A row that is put on a condition stands in the call twice.
        std::size_t entries = 0;
        for (const auto& write : writes)
            entries += write.removed ? 1 : 2;
        REQUIRE(entries <= maxUsageEntriesPerWrite);
        if (fault == Fault::Down)
            return {};
        if (fault == Fault::Refuses)
            return { WriteOutcome::NotApplied, {}, {} };
        UsageRowsWritten result { WriteOutcome::Applied, {}, {} };
        for (const auto& row : writes) {
            const auto found = rows.find(keyOf(row));
            if (found != rows.end())
                result.current.push_back(found->second);
            if ((found == rows.end() ? RowVersion(0) : found->second.version) != row.version)
                result.outcome = WriteOutcome::Conflict;
        }
        if (result.outcome == WriteOutcome::Conflict)
            return result;
        result = { WriteOutcome::Applied, RowVersion(++m_version), {} };
        for (const auto& row : writes) {
            if (row.removed) {
                rows.erase(keyOf(row));
                continue;
            }
            rows[keyOf(row)] = row;
            rows[keyOf(row)].version = result.version;
        }
        return fault == Fault::LosesResponses ? UsageRowsWritten() : result;
    }

    using Key = std::tuple<UsageWindow, UsageRow::Kind, HostId, Incarnation>;
    static Key keyOf(const UsageRow& row)
    {
        const bool progress = row.kind == UsageRow::Kind::Progress;
        return { progress ? UsageWindow() : row.id.window, row.kind, row.id.host, row.id.incarnation };
    }

    std::map<Key, UsageRow> rows;
    Fault fault = Fault::None;
    StoreEra era { 1 };
    int reads = 0;
    int writes = 0;

private:
    std::uint64_t m_version = 0;
};

// Hosts of one data centre that count, store and report usage by the project's decisions, with a fake store
// and a fake platform, under a fake clock. The first host is the reader; any may be the holder.
class UsageFleet {
public:
    static constexpr Nanoseconds step = std::chrono::milliseconds(50);

    struct Host {
        Host(int number, const UsageFleet& fleet)
            : id("h" + std::to_string(number))
            , meter(id, Incarnation(fleet.stepCount() + 1), fleet.bounds)
            , collector(fleet.bounds)
            , reporter(fleet.bounds,
                  fleet.stepCount() == 0 ? std::optional(fleet.bounds.windowAt(fleet.trueNow()))
                                         : std::nullopt,
                  reporterHooks(fleet))
        {
            time.observe(fleet.now(), fleet.trueNow());
        }

        UsageReporter::Hooks reporterHooks(const UsageFleet& fleet)
        {
            UsageReporter::Hooks hooks;
            hooks.encodeBody = [](UsageWindow, const UsageCounts& counts) {
                std::string body = "{";
                for (const auto& [organisation, requests] : counts)
                    body += organisation.text() + ":" + std::to_string(requests) + ",";
                return body + "}";
            };
            hooks.onLate
                = [this](UsageWindow, UsageReporter::LateReason reason, int) { late.push_back(reason); };
            hooks.onLeftOut = [&fleet](UsageWindow first, UsageWindow end) {
                for (; first < end; first += UsageWindow(1))
                    fleet.leftOut.insert(first);
            };
            hooks.lastSent = [this] { return lastSent; };
            hooks.hearsHosts = [this] { return hearsHosts; };
            hooks.onSending = [this](const SentReport& report) { learn(report); };
            hooks.othersKnow = [&fleet](UsageWindow window) {
                return std::all_of(fleet.hosts.begin(), fleet.hosts.end(), [window](const auto& host) {
                    return !host->hearsHosts || (host->lastSent && host->lastSent->window >= window);
                });
            };
            return hooks;
        }

        void learn(const SentReport& report)
        {
            if (!lastSent || lastSent->window < report.window)
                lastSent = report;
        }

        HostId id;
        UsageMeter meter;
        UsageCollector collector;
        UsageReporter reporter;
        TrueTime time;
        // Error of the wall clock.
        Nanoseconds clockError {};
        std::uint64_t collected = 0;
        std::uint64_t sent = 0;
        std::uint64_t confirmed = 0;
        std::vector<UsageReporter::LateReason> late;
        // What the host knows of reports that were sent, and whether it has links to others.
        std::optional<SentReport> lastSent;
        bool hearsHosts = true;
    };

    explicit UsageFleet(int size)
    {
        for (int i = 0; i < size; ++i)
            hosts.push_back(std::make_unique<Host>(i, *this));
        takeOver(0);
    }

    std::int64_t stepCount() const { return m_steps; }
    MonotonicTime now() const { return MonotonicTime(std::chrono::hours(3) + m_steps * step); }
    WallTime trueNow() const { return WallTime(start + m_steps * step); }

    // The host becomes the holder; the one before it is lost if it was restarted.
    void takeOver(std::size_t host)
    {
        holder = host;
        hosts[host]->reporter.begin(now(), hosts[host]->time.at(now()));
    }
    void restart(std::size_t host)
    {
        hosts[host] = std::make_unique<Host>(static_cast<int>(host), *this);
        if (host > 0)
            return;
        // Links to a new reader start anew.
        for (auto& each : hosts)
            each->sent = each->confirmed = 0;
    }

    // The store comes back with the rows of an older copy.
    void restoreStore(std::map<FakeUsageStore::Key, UsageRow> copy)
    {
        store.rows = std::move(copy);
        store.era += StoreEra(1);
        for (auto& host : hosts) {
            host->meter.onStoreRestored();
            host->collector.onStoreRestored(
                now(), host->lastSent ? std::optional(host->lastSent->window) : std::nullopt);
            host->reporter.onStoreRestored(now());
        }
    }

    void count(std::size_t host, const std::string& organisation)
    {
        auto& each = *hosts[host];
        const auto seen = each.time.at(now());
        each.meter.onRunBegan(Organisation(organisation), seen, seen);
        ++truth[bounds.windowAt(trueNow())][Organisation(organisation)];
    }

    void runStep()
    {
        ++m_steps;
        for (auto& host : hosts) {
            if (m_steps % 20 == 1)
                host->time.observe(now(), trueNow() + host->clockError);
            // Each host reads tables of the store.
            const bool answers = store.fault == FakeUsageStore::Fault::None;
            if (m_steps % 10 == 0 && answers)
                host->reporter.onStoreAnswered(now());
            else if (m_steps % 10 == 0 && store.fault != FakeUsageStore::Fault::LosesResponses)
                host->reporter.onStoreFailed(now());
            collect(*host);
        }
        if (m_steps % 4 == 0)
            exchangeFrames();
        if (holder)
            report(*hosts[*holder]);
    }

    void runFor(Nanoseconds time, const std::function<void()>& beforeStep = {})
    {
        for (const auto end = now() + time; now() < end;) {
            if (beforeStep)
                beforeStep();
            runStep();
        }
    }

    std::string expectedBody(UsageWindow window)
    {
        return hosts[0]->reporterHooks(*this).encodeBody(window, truth[window]);
    }

    UsageBounds bounds;
    FakeUsageStore store;
    // HTTP status of the platform's responses; 0 if they are lost although reports arrive, -1 if it is cut
    // off.
    int status = 200;
    std::vector<std::unique_ptr<Host>> hosts;
    std::optional<std::size_t> holder;
    std::map<UsageWindow, UsageCounts> truth;
    // By window, the body of its first report and when that arrived.
    std::map<UsageWindow, std::pair<std::string, WallTime>> reports;
    int posts = 0;
    mutable std::set<UsageWindow> leftOut;

private:
    static constexpr Nanoseconds start = std::chrono::seconds(1'796'540'400);

    void collect(Host& host)
    {
        host.meter.advance(host.time.at(now()));
        for (const auto& record : host.meter.changesSince(host.collected))
            host.collector.add(record);
        const bool reader = &host == hosts.front().get();
        const auto rows = host.collector.nextWrite(now(), host.time.at(now()), reader);
        if (!rows.empty())
            host.collector.onWritten(now(), store.write(rows));
    }

    void exchangeFrames()
    {
        for (const auto& from : hosts) {
            for (auto& to : hosts) {
                if (from->lastSent && from->hearsHosts && to->hearsHosts)
                    to->learn(*from->lastSent);
            }
        }
        auto& reader = *hosts.front();
        for (std::size_t i = 1; i < hosts.size(); ++i) {
            for (const auto& record : hosts[i]->meter.changesSince(hosts[i]->sent))
                reader.collector.add(record);
            for (const auto& id : reader.collector.storedSince({ hosts[i]->id }, hosts[i]->confirmed)) {
                hosts[i]->meter.noteStored(id);
                hosts[i]->collector.noteStoredByReader(id);
            }
        }
    }

    void report(Host& host)
    {
        const auto time = host.time.at(now());
        host.reporter.checkLate(time);
        if (const auto call = host.reporter.nextStoreCall(now(), time)) {
            if (call->write.empty())
                host.reporter.onRead(now(), store.read(call->from, call->before), store.era);
            else
                host.reporter.onWritten(now(), store.write(call->write));
        }
        const auto report = host.reporter.nextReport(now());
        if (!report)
            return;
        ++posts;
        if (status >= 0)
            receive(*report);
        host.reporter.onAnswer(now(), time, report->window, std::max(status, 0));
    }

    void receive(const UsageReporter::Report& report)
    {
        const auto body = store.rows.find({ report.window, UsageRow::Kind::Body, {}, {} });
        REQUIRE(body != store.rows.end());
        const auto before = reports.find(report.window);
        auto next = reports.empty() ? report.window : reports.rbegin()->first + UsageWindow(1);
        while (leftOut.count(next) > 0)
            next += UsageWindow(1);
        if (before == reports.end())
            REQUIRE(next == report.window);
        if (before != reports.end())
            REQUIRE(before->second.first == report.body);
        if (status == 200 || status == 0)
            reports.emplace(report.window, std::pair(report.body, trueNow()));
    }

    std::int64_t m_steps = 0;
};

} // namespace almondscale
