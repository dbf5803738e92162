#pragma once

#include "Serving/HttpFields.h"

#include <string>

namespace almondscale {

// The head of a request without what concerns only its connection.
struct HttpRequestHead {
    std::string method;
    std::string target;
    HttpFields fields;
};

// The head of a response.
struct HttpResponseHead {
    int status = 0;
    HttpFields fields;
};

} // namespace almondscale
