#pragma once

#include "Load/LoadRun.h"

#include <string>

namespace almondscale {

// What a run of load under failures broke, as text for the test's report; empty if
// every promise to callers was kept. Answers that a dead host could not give are
// allowed only if the callers' hosts were told to fail.
std::string brokenPromises(const LoadResult&, bool hostsFail = false);

// The kinds of refusals that callers got, with their counts.
std::string refusals(const LoadResult&);

} // namespace almondscale
