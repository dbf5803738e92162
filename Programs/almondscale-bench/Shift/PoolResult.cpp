#include "Shift/PoolResult.h"

#include <algorithm>

namespace almondscale {

namespace {

    template <typename T> void append(std::vector<T>& to, const std::vector<T>& from)
    {
        to.insert(to.end(), from.begin(), from.end());
    }

    void addBuckets(std::vector<std::int64_t>& to, const std::vector<std::int64_t>& from)
    {
        to.resize(std::max(to.size(), from.size()));
        for (std::size_t i = 0; i < from.size(); ++i)
            to[i] += from[i];
    }

} // namespace

void PoolResult::add(const PoolResult& other)
{
    offered += other.offered;
    completeInTime += other.completeInTime;
    refused += other.refused;
    late += other.late;
    append(roleChanges, other.roleChanges);
    append(firstTokens, other.firstTokens);
    append(tokenGaps, other.tokenGaps);
    addBuckets(offeredInBucket, other.offeredInBucket);
    addBuckets(completeInBucket, other.completeInBucket);
    append(violations, other.violations);
}

} // namespace almondscale
