#include "StandIns/KvCache.h"

#include <xxhash.h>

namespace almondscale::standin {

std::uint64_t hashForKv(const std::string& prompt) { return XXH64(prompt.data(), prompt.size(), 0); }

} // namespace almondscale::standin
