#include "Dispatch/Fingerprint.h"

#include <xxhash.h>

namespace almondscale {

Fingerprint fingerprintOf(const ModelName& model, const std::string& prompt)
{
    const auto seed = XXH64(model.text().data(), model.text().size(), 0);
    return Fingerprint(XXH64(prompt.data(), prompt.size(), seed));
}

} // namespace almondscale
