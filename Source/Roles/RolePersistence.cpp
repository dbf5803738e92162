#include "Roles/RolePersistence.h"

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

Nanoseconds expectedPersistence(const std::vector<double>& gains, Nanoseconds sampleSpan, double noticeable)
{
    if (gains.empty() || gains.back() <= noticeable)
        return Nanoseconds(0);
    const auto lengths = spells(gains, noticeable);
    const int age = lengths.back();
    int longer = 0;
    int excess = 0;
    for (std::size_t i = 0; i + 1 < lengths.size(); ++i) {
        if (lengths[i] <= age)
            continue;
        ++longer;
        excess += lengths[i] - age;
    }
    // Without an earlier spell that outlasted this one, it is expected to last as long again.
    if (longer == 0)
        return sampleSpan * age;
    return sampleSpan * excess / longer;
}

} // namespace almondscale
