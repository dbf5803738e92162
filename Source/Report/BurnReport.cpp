#include "Report/BurnReport.h"

#include "Report/SvgChart.h"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>

namespace almondscale {

namespace {

    constexpr std::size_t hourWindowIndex = 1;
    constexpr std::size_t longestWindowIndex = burnWindows.size() - 1;
    // More lines in one chart are hard to distinguish.
    constexpr std::size_t maxChartRows = 4;

    double burnRateOf(const BurnCounts& counts, double target)
    {
        if (counts.total == 0 || target >= 1)
            return 0;
        const double bad
            = static_cast<double>(counts.total - counts.good) / static_cast<double>(counts.total);
        return bad / (1 - target);
    }

    double milliseconds(Nanoseconds time) { return std::chrono::duration<double, std::milli>(time).count(); }

    std::string quoted(const std::string& text)
    {
        std::ostringstream out;
        out << '"';
        for (const char c : text) {
            if (c == '"' || c == '\\')
                out << '\\' << c;
            else if (static_cast<unsigned char>(c) < 0x20)
                out << "\\u" << std::hex << std::setw(4) << std::setfill('0') << static_cast<int>(c)
                    << std::dec;
            else
                out << c;
        }
        out << '"';
        return out.str();
    }

    std::string seriesName(const BurnKey& key) { return key.model.text() + " / " + key.organisation.text(); }

    void writeTableRow(std::ostream& out, const BurnRow& row)
    {
        const auto& day = row.windows[longestWindowIndex];
        out << std::left << std::setw(20) << row.key.model.text() << ' ' << std::setw(20)
            << row.key.organisation.text() << std::right << std::fixed << std::setprecision(0) << std::setw(9)
            << milliseconds(row.objective.firstToken) << std::setw(8) << milliseconds(row.objective.tokenGap)
            << std::setprecision(2) << std::setw(8) << row.objective.target * 100 << std::setw(6)
            << row.objective.line;
        for (std::size_t i = 0; i < burnWindows.size(); ++i)
            out << std::setw(9) << row.burnRate(i);
        out << std::setw(10) << day.total << std::setw(10) << day.good << std::setw(9)
            << row.budgetLeft() * 100 << '\n';
    }

    void writeWindowJson(std::ostream& out, const BurnRow& row, std::size_t window)
    {
        const auto& counts = row.windows[window];
        out << "{\"window\":\"" << burnWindows[window].name << "\",\"total\":" << counts.total
            << ",\"good\":" << counts.good << ",\"first_token_late\":" << counts.firstTokenLate
            << ",\"token_gap_late\":" << counts.tokenGapLate << ",\"incomplete\":" << counts.incomplete
            << ",\"burn_rate\":" << row.burnRate(window) << "}";
    }

    void writeRowJson(std::ostream& out, const BurnRow& row)
    {
        const auto& objective = row.objective;
        out << "{\"model\":" << quoted(row.key.model.text())
            << ",\"organisation\":" << quoted(row.key.organisation.text())
            << ",\"first_token_ms\":" << milliseconds(objective.firstToken)
            << ",\"token_gap_ms\":" << milliseconds(objective.tokenGap) << ",\"target\":" << objective.target
            << ",\"rule_line\":" << objective.line
            << ",\"rule_organisation\":" << quoted(objective.organisation.text())
            << ",\"budget_left\":" << row.budgetLeft() << ",\"windows\":[";
        for (std::size_t i = 0; i < burnWindows.size(); ++i) {
            out << (i > 0 ? "," : "");
            writeWindowJson(out, row, i);
        }
        out << "]}";
    }

} // namespace

double BurnRow::burnRate(std::size_t window) const { return burnRateOf(windows[window], objective.target); }

double BurnRow::budgetLeft() const { return 1 - burnRate(longestWindowIndex); }

class BurnReport::Impl {
public:
    std::map<BurnKey, BurnSeries> mergedSeries() const
    {
        std::map<BurnKey, BurnSeries> merged;
        std::map<BurnKey, WallTime> newest;
        for (const auto& [id, summary] : m_summaries) {
            for (const auto& [key, series] : summary.series) {
                auto& to = merged[key];
                to.history.merge(series.history);
                // Hosts may briefly have different rule versions; use the objective of the newest summary.
                if (summary.createdAt < newest[key])
                    continue;
                to.objective = series.objective;
                newest[key] = summary.createdAt;
            }
        }
        return merged;
    }

    std::map<std::pair<HostId, Incarnation>, BurnSummary> m_summaries;
};

BurnReport::BurnReport()
    : m_impl(std::make_unique<Impl>())
{
}

BurnReport::~BurnReport() = default;

void BurnReport::merge(const BurnSummary& summary)
{
    auto& known = m_impl->m_summaries[{ summary.host, summary.incarnation }];
    if (known.host.empty() || known.createdAt <= summary.createdAt)
        known = summary;
}

void BurnReport::removeExpired(WallTime now)
{
    for (auto entry = m_impl->m_summaries.begin(); entry != m_impl->m_summaries.end();) {
        const bool old = now - entry->second.createdAt > burnWindows[longestWindowIndex].length;
        entry = old ? m_impl->m_summaries.erase(entry) : std::next(entry);
    }
}

std::vector<BurnSummary> BurnReport::summaries() const
{
    std::vector<BurnSummary> all;
    for (const auto& [id, summary] : m_impl->m_summaries)
        all.push_back(summary);
    return all;
}

std::vector<BurnRow> BurnReport::rows(WallTime now) const
{
    std::vector<BurnRow> rows;
    for (const auto& [key, series] : m_impl->mergedSeries()) {
        BurnRow row { key, series.objective, {} };
        for (std::size_t i = 0; i < burnWindows.size(); ++i)
            row.windows[i] = series.history.sum(burnWindows[i], now);
        rows.push_back(row);
    }
    std::stable_sort(rows.begin(), rows.end(), [](const BurnRow& a, const BurnRow& b) {
        return a.burnRate(hourWindowIndex) > b.burnRate(hourWindowIndex);
    });
    return rows;
}

std::string BurnReport::renderTable(WallTime now) const
{
    std::ostringstream out;
    out << std::left << std::setw(20) << "MODEL" << ' ' << std::setw(20) << "ORGANISATION" << std::right
        << std::setw(9) << "FIRST ms" << std::setw(8) << "GAP ms" << std::setw(8) << "GOOD %" << std::setw(6)
        << "LINE";
    for (const auto& window : burnWindows)
        out << std::setw(9) << (std::string("BURN ") + window.name);
    out << std::setw(10) << "TOTAL 24h" << std::setw(10) << "GOOD 24h" << std::setw(9) << "LEFT %" << '\n';
    for (const auto& row : rows(now))
        writeTableRow(out, row);
    return out.str();
}

std::string BurnReport::renderJson(WallTime now) const
{
    std::ostringstream out;
    out << "{\"at\":" << now.time_since_epoch().count() << ",\"hosts\":" << m_impl->m_summaries.size()
        << ",\"rows\":[";
    bool first = true;
    for (const auto& row : rows(now)) {
        out << (first ? "" : ",");
        writeRowJson(out, row);
        first = false;
    }
    out << "]}";
    return out.str();
}

std::string BurnReport::renderSvg(WallTime now) const
{
    const auto merged = m_impl->mergedSeries();
    const auto last = now.time_since_epoch() / fineBurnBucketLength;
    const auto minutes = static_cast<std::int64_t>(fineBurnBucketCount);
    ChartPanel rate { "Burn rate by the minute (1 spends the budget exactly)", "burn rate", {} };
    ChartPanel good { "Requests that met their objective", "share of requests (%)", {} };
    auto chosen = rows(now);
    chosen.resize(std::min(chosen.size(), maxChartRows));
    for (const auto& row : chosen) {
        const auto& buckets = merged.at(row.key).history.fine();
        ChartSeries rateLine { seriesName(row.key), {} };
        ChartSeries goodLine = rateLine;
        for (auto minute = last - minutes + 1; minute <= last; ++minute) {
            const auto bucket = buckets.find(minute);
            if (bucket == buckets.end() || bucket->second.total == 0)
                continue;
            const auto x = static_cast<double>(minute - last + minutes - 1);
            const auto& counts = bucket->second;
            rateLine.points.push_back({ x, burnRateOf(counts, row.objective.target) });
            goodLine.points.push_back(
                { x, 100 * static_cast<double>(counts.good) / static_cast<double>(counts.total) });
        }
        rate.series.push_back(rateLine);
        good.series.push_back(goodLine);
    }
    return SvgChart {
        "Service level burn, last hour", "minutes since one hour ago", { rate, good }
    }.render();
}

} // namespace almondscale
