#pragma once

#include <map>
#include <string>

namespace almondscale {

// A response; header names are in lower case.
struct HttpResponse {
    int status = 200;
    std::string contentType = "application/json";
    std::map<std::string, std::string> headers;
    std::string body;
};

} // namespace almondscale
