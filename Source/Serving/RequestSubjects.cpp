#include "Serving/RequestSubjects.h"

#include "Serving/RequestContent.h"

#include <algorithm>

namespace almondscale {

namespace {

    // Bounds the records that one broken run adds.
    constexpr std::size_t maxSharedParts = 64;

} // namespace

RequestSubjects subjectsOf(const CallerRequest& request)
{
    RequestSubjects subjects { contentOf(request), {}, std::nullopt };
    if (!request.prompt || request.prompt->parts.empty())
        return subjects;
    const auto& parts = request.prompt->parts;
    subjects.ownPart = parts.back();
    auto& shared = subjects.sharedParts;
    for (std::size_t i = 0; i + 1 < parts.size() && shared.size() < maxSharedParts; ++i) {
        if (std::find(shared.begin(), shared.end(), parts[i]) == shared.end())
            shared.push_back(parts[i]);
    }
    return subjects;
}

} // namespace almondscale
