#include "Roles/RolePersistence.h"

#include <algorithm>

namespace almondscale {

namespace {

    // The lengths, in samples, of the spells of gain; the last one is still going on.
    std::vector<int> spells(const std::vector<double>& gains, double noticeable)
    {
        std::vector<int> lengths;
        bool inside = false;
        for (const double gain : gains) {
            if (gain <= noticeable) {
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

Nanoseconds expectedPersistence(const std::vector<double>& gains, const PersistenceSettings& settings)
{
    if (gains.empty() || gains.back() <= settings.noticeable)
        return Nanoseconds(0);
    const auto lengths = spells(gains, settings.noticeable);
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
        return settings.sampleSpan * excess / longer;
    // What has outlasted all before it is expected to last as long again.
    const Nanoseconds again = settings.sampleSpan * age;
    const bool first = lengths.size() == 1 && age >= settings.oldEnoughSamples;
    return first ? std::max(again, settings.firstSpell) : again;
}

} // namespace almondscale
