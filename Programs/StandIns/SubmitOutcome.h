#pragma once

namespace almondscale::standin {

// Whether an attempt was taken, or why it did not run.
enum class SubmitOutcome {
    Accepted,
    WrongRole,
    ChangingRole,
    DuplicateAttempt,
    Full,
    WrongModel,
    Down,
};

const char* submitOutcomeWord(SubmitOutcome);

} // namespace almondscale::standin
