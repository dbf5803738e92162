#pragma once

#include "Serving/Manifest.h"

#include <set>
#include <string>
#include <vector>

namespace almondscale {

// Checks what the store does not: organisations and pools. Each error names the entry and the remedy. With no
// known data centres, those of prices are not checked.
std::vector<std::string> checkManifest(const Manifest&, const std::set<DataCentre>& known);

} // namespace almondscale
