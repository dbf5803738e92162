#include "HostConnection.h"

#include "Http/HttpClient.h"

namespace almondscale {

namespace {

    constexpr auto callTimeout = std::chrono::seconds(15);

} // namespace

HostConnection::HostConnection(const Address& host, const std::string& key)
    : m_host(host)
    , m_key(key)
{
}

CallResult HostConnection::get(const std::string& path) const { return call("GET", path, {}); }

CallResult HostConnection::post(const std::string& path, const std::string& body) const
{
    return call("POST", path, body);
}

CallResult HostConnection::call(
    const std::string& method, const std::string& path, const std::string& body) const
{
    HttpCall call;
    call.to = m_host;
    call.method = method;
    call.path = path;
    call.headers["x-operator-key"] = m_key;
    call.body = body;
    call.deadline = Deadline::after(monotonicClock()(), callTimeout);
    return callOnce(call);
}

} // namespace almondscale
