#include "Dispatch/Fingerprint.h"

#include <xxhash.h>

namespace almondscale {

Fingerprint fingerprintOf(std::initializer_list<std::string_view> parts)
{
    std::uint64_t hash = 0;
    for (const auto part : parts)
        hash = XXH64(part.data(), part.size(), hash);
    return Fingerprint(hash);
}

Fingerprint fingerprintOf(const ModelName& model, const std::string& prompt)
{
    return fingerprintOf({ model.text(), prompt });
}

} // namespace almondscale
