#pragma once

namespace almondscale {

// What speaks for the end of a server, from the least on.
enum class EndEvidence {
    // New connections fail, and a new one broke. An overloaded server does the same.
    Unsure,
    // Kept connections broke too.
    Certain,
    // Its registration has gone as well.
    Gone,
};

} // namespace almondscale
