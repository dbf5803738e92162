#pragma once

#include <map>
#include <string>

namespace almondscale {

// A request received by the HTTP server; header names are in lower case.
struct HttpRequest {
    std::string method;
    std::string path;
    std::string query;
    std::map<std::string, std::string> headers;
    std::string body;
    std::string peer;

    // The value of a header, or an empty string if it is absent.
    std::string header(const std::string& lowerCaseName) const;

    // The decoded value of a query parameter, or an empty string if it is absent.
    std::string queryParameter(const std::string& name) const;
};

} // namespace almondscale
