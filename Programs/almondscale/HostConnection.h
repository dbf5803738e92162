#pragma once

#include "Http/CallResult.h"
#include "ToolOptions.h"

#include <string>

namespace almondscale {

// Calls the operators' port of one host.
class HostConnection {
public:
    HostConnection(const Address& host, const std::string& key);

    CallResult get(const std::string& path) const;
    CallResult post(const std::string& path, const std::string& body) const;

private:
    CallResult call(const std::string& method, const std::string& path, const std::string& body) const;

    Address m_host;
    std::string m_key;
};

} // namespace almondscale
