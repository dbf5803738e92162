#include "Http/HttpRequest.h"

#include <cxxtools/query_params.h>

namespace almondscale {

std::string HttpRequest::header(const std::string& lowerCaseName) const
{
    const auto found = headers.find(lowerCaseName);
    return found == headers.end() ? std::string() : found->second;
}

std::string HttpRequest::queryParameter(const std::string& name) const
{
    cxxtools::QueryParams parameters;
    parameters.parse_url(query);
    return parameters.has(name) ? parameters.param(name) : std::string();
}

} // namespace almondscale
