#include "StandIns/AttemptState.h"

namespace almondscale::standin {

const char* attemptStateWord(AttemptState state)
{
    switch (state) {
    case AttemptState::Queued:
        return "queued";
    case AttemptState::Running:
        return "running";
    case AttemptState::Done:
        return "done";
    case AttemptState::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace almondscale::standin
