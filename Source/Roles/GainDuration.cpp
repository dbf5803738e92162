#include "Roles/GainDuration.h"

#include <algorithm>

namespace almondscale {

namespace {

    // The lengths, in samples, of the contiguous periods of gain. The last one may be in progress.
    std::vector<int> gainPeriods(const std::vector<double>& gains, double minGain)
    {
        std::vector<int> lengths;
        bool inside = false;
        for (const double gain : gains) {
            if (gain <= minGain) {
                inside = false;
                continue;
            }
            if (!inside)
                lengths.push_back(0);
            ++lengths.back();
            inside = true;
        }
        return lengths;
    }

} // namespace

Nanoseconds expectedGainDuration(const std::vector<double>& gains, const GainDurationSettings& settings)
{
    if (gains.empty() || gains.back() <= settings.minGain)
        return Nanoseconds(0);
    const auto lengths = gainPeriods(gains, settings.minGain);
    const int age = lengths.back();
    int longer = 0;
    int excess = 0;
    for (std::size_t i = 0; i + 1 < lengths.size(); ++i) {
        if (lengths[i] <= age)
            continue;
        ++longer;
        excess += lengths[i] - age;
    }
    if (longer > 0)
        return settings.sampleInterval * excess / longer;
    // A period longer than all earlier ones is expected to last as long again.
    const Nanoseconds again = settings.sampleInterval * age;
    const bool first = lengths.size() == 1 && age >= settings.minInitialSamples;
    return first ? std::max(again, settings.initialDuration) : again;
}

} // namespace almondscale
