#include "Serving/UsageRow.h"

namespace almondscale {

std::size_t encodedBytes(const UsageCounts& counts)
{
    // Quotes, colon, comma and digits of an entry, and the frame around all of them.
    constexpr std::size_t entryBytes = 14;
    std::size_t bytes = 100;
    for (const auto& entry : counts)
        bytes += entry.first.text().size() + entryBytes;
    return bytes;
}

bool raiseCounts(UsageCounts& counts, const UsageCounts& other)
{
    bool raised = false;
    for (const auto& [organisation, requests] : other) {
        auto& count = counts[organisation];
        if (count >= requests)
            continue;
        count = requests;
        raised = true;
    }
    return raised;
}

} // namespace almondscale
