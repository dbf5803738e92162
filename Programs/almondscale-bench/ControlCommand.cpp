#include "ControlCommand.h"

#include "ControlOptions.h"

namespace almondscale {

int runControlCommand(int argc, char** argv)
{
    const auto options = parseControlOptions(argc, argv);
    if (!options)
        return 2;
    printControlUsage();
    return 0;
}

} // namespace almondscale
