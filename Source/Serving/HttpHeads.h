#pragma once

#include "Serving/HttpFields.h"

#include <string>

namespace almondscale {

// The head of a request, without hop-by-hop fields.
struct HttpRequestHead {
    std::string method;
    std::string target;
    HttpFields fields;
};

struct HttpResponseHead {
    int status = 0;
    HttpFields fields;
};

} // namespace almondscale
