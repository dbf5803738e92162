#include "StandIns/SubmitOutcome.h"

namespace almondscale::standin {

const char* submitOutcomeWord(SubmitOutcome outcome)
{
    switch (outcome) {
    case SubmitOutcome::Accepted:
        return "accepted";
    case SubmitOutcome::WrongRole:
        return "wrong_role";
    case SubmitOutcome::ChangingRole:
        return "changing_role";
    case SubmitOutcome::DuplicateAttempt:
        return "duplicate_attempt";
    case SubmitOutcome::Full:
        return "full";
    case SubmitOutcome::WrongModel:
        return "wrong_model";
    case SubmitOutcome::Down:
        return "down";
    }
    return "unknown";
}

} // namespace almondscale::standin
