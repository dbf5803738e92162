#pragma once

namespace almondscale::standin {

// How far an attempt has come.
enum class AttemptState {
    Queued,
    Running,
    Done,
    Cancelled,
};

const char* attemptStateWord(AttemptState);

} // namespace almondscale::standin
