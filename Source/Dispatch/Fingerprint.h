#pragma once

#include "Core/ModelName.h"
#include "Core/Quantity.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace almondscale {

// Hash of the part of a request that determines what an engine does with it.
using Fingerprint = Quantity<struct FingerprintTag, std::uint64_t>;

Fingerprint fingerprintOf(std::initializer_list<std::string_view> parts);
Fingerprint fingerprintOf(const ModelName&, const std::string& prompt);

} // namespace almondscale
