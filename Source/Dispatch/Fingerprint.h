#pragma once

#include "Core/ModelName.h"
#include "Core/Quantity.h"

#include <string>

namespace almondscale {

// Stands for the part of a request that decides what an engine does with it.
using Fingerprint = Quantity<struct FingerprintTag, std::uint64_t>;

Fingerprint fingerprintOf(const ModelName&, const std::string& prompt);

} // namespace almondscale
