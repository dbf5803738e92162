#pragma once

#include "Core/Address.h"

#include <map>
#include <string>
#include <vector>

namespace almondscale {

// What the command line of the tool asks for.
struct ToolOptions {
    Address host;
    // The platform's store.
    Address store;
    std::string key;
    bool json = false;
    bool help = false;
    bool version = false;
    // The words of the command and its arguments, without options.
    std::vector<std::string> words;
    // The values of the commands' own options, such as "author".
    std::map<std::string, std::string> values;
    // Not empty if the command line is wrong.
    std::string error;
};

// Options may stand anywhere; ALMONDSCALE_HOST, ALMONDSCALE_STORE and ALMONDSCALE_KEY_FILE stand in for
// missing ones.
ToolOptions parseToolOptions(int argc, char* argv[]);

} // namespace almondscale
