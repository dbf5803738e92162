#pragma once

#include "Core/Address.h"
#include "Core/Deadline.h"

#include <map>
#include <string>

namespace almondscale {

// One request that an HTTP client sends.
struct HttpCall {
    Address to;
    std::string method = "GET";
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
    Deadline deadline;
};

} // namespace almondscale
