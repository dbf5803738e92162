#include "Serving/RequestSubjects.h"

#include "Serving/RequestContent.h"

#include <unordered_set>

namespace almondscale {

RequestSubjects subjectsOf(const CallerRequest& request)
{
    RequestSubjects subjects { contentOf(request), {}, std::nullopt };
    if (!request.prompt || request.prompt->parts.empty())
        return subjects;
    const auto& parts = request.prompt->parts;
    subjects.ownPart = parts.back();
    std::unordered_set<PromptPartId> seen;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        if (seen.insert(parts[i]).second)
            subjects.sharedParts.push_back(parts[i]);
    }
    return subjects;
}

} // namespace almondscale
