#include "Report/BurnSummary.h"

#include <iomanip>
#include <sstream>

namespace almondscale {

namespace {

    // Record types of the line-based text format. Names are quoted, since they may contain any character.
    constexpr const char* hostWord = "host";
    constexpr const char* seriesWord = "series";
    constexpr const char* fineWord = "f";
    constexpr const char* coarseWord = "c";

    void writeBuckets(std::ostream& out, const char* word, const BurnHistory::Buckets& buckets)
    {
        for (const auto& [bucket, counts] : buckets) {
            out << word << ' ' << bucket << ' ' << counts.total << ' ' << counts.good << ' '
                << counts.firstTokenLate << ' ' << counts.tokenGapLate << ' ' << counts.incomplete << '\n';
        }
    }

    void writeSeries(std::ostream& out, const BurnKey& key, const BurnSeries& series)
    {
        const auto& objective = series.objective;
        out << seriesWord << ' ' << std::quoted(key.model.text()) << ' '
            << std::quoted(key.organisation.text()) << ' ' << std::quoted(objective.model.text()) << ' '
            << std::quoted(objective.organisation.text()) << ' ' << objective.firstToken.count() << ' '
            << objective.tokenGap.count() << ' ' << std::setprecision(17) << objective.target << ' '
            << objective.line << '\n';
        writeBuckets(out, fineWord, series.history.fine());
        writeBuckets(out, coarseWord, series.history.coarse());
    }

    bool readHost(std::istream& in, BurnSummary& summary)
    {
        std::string host;
        std::uint64_t incarnation = 0;
        std::int64_t createdAt = 0;
        if (!(in >> std::quoted(host) >> incarnation >> createdAt))
            return false;
        summary.host = HostId(host);
        summary.incarnation = Incarnation(incarnation);
        summary.createdAt = WallTime(std::chrono::seconds(createdAt));
        return true;
    }

    BurnSeries* readSeries(std::istream& in, BurnSummary& summary)
    {
        std::string model;
        std::string organisation;
        std::string ruleModel;
        std::string ruleOrganisation;
        std::int64_t firstToken = 0;
        std::int64_t tokenGap = 0;
        ObjectiveRule objective;
        if (!(in >> std::quoted(model) >> std::quoted(organisation) >> std::quoted(ruleModel)
                >> std::quoted(ruleOrganisation) >> firstToken >> tokenGap >> objective.target
                >> objective.line))
            return nullptr;
        objective.model = ModelName(ruleModel);
        objective.organisation = Organisation(ruleOrganisation);
        objective.firstToken = Nanoseconds(firstToken);
        objective.tokenGap = Nanoseconds(tokenGap);
        auto& series = summary.series[{ ModelName(model), Organisation(organisation) }];
        series.objective = objective;
        return &series;
    }

    bool readBucket(std::istream& in, bool fine, BurnSeries* series)
    {
        std::int64_t bucket = 0;
        BurnCounts counts;
        if (!(in >> bucket >> counts.total >> counts.good >> counts.firstTokenLate >> counts.tokenGapLate
                >> counts.incomplete))
            return false;
        if (!series)
            return false;
        series->history.setBucket(fine, bucket, counts);
        return true;
    }

} // namespace

std::string encodeBurnSummary(const BurnSummary& summary)
{
    std::ostringstream out;
    out << hostWord << ' ' << std::quoted(summary.host.text()) << ' ' << summary.incarnation << ' '
        << summary.createdAt.time_since_epoch().count() << '\n';
    for (const auto& [key, series] : summary.series)
        writeSeries(out, key, series);
    return out.str();
}

std::optional<BurnSummary> decodeBurnSummary(const std::string& text)
{
    std::istringstream in(text);
    BurnSummary summary;
    BurnSeries* series = nullptr;
    std::string word;
    if (!(in >> word) || word != hostWord || !readHost(in, summary))
        return std::nullopt;
    while (in >> word) {
        bool read = false;
        if (word == seriesWord) {
            series = readSeries(in, summary);
            read = series != nullptr;
        } else if (word == fineWord || word == coarseWord) {
            read = readBucket(in, word == fineWord, series);
        }
        if (!read)
            return std::nullopt;
    }
    return summary;
}

} // namespace almondscale
