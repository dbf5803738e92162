#include "Platform/PlatformMessages.h"

#include <stdexcept>

namespace almondscale {

namespace {

    using cxxtools::SerializationInfo;

    std::string stringMember(const SerializationInfo& si, const char* name)
    {
        std::string value;
        si.getMember(name) >>= value;
        return value;
    }

    RowVersion versionMember(const SerializationInfo& si)
    {
        std::uint64_t value = 0;
        si.getMember("version") >>= value;
        return RowVersion(value);
    }

    Address addressMember(const SerializationInfo& si, const char* name)
    {
        const auto address = parseAddress(stringMember(si, name));
        if (!address)
            throw std::invalid_argument("malformed address in the host list");
        return *address;
    }

    bool isLeaving(const SerializationInfo& si) { return stringMember(si, "state") == "leaving"; }

} // namespace

void operator<<=(SerializationInfo& si, const WriteRequest& request)
{
    si.addMember("value") <<= request.value;
    si.addMember("expected") <<= request.expected.count();
    si.addMember("writer") <<= request.writer.text();
}

void operator>>=(const SerializationInfo& si, WriteResponse& response)
{
    response.version = versionMember(si);
}

void operator>>=(const SerializationInfo& si, TableRow& row)
{
    row.key = stringMember(si, "key");
    row.value = stringMember(si, "value");
    row.version = versionMember(si);
    row.writer = WriterId(stringMember(si, "writer"));
}

void operator>>=(const SerializationInfo& si, ListResponse& response)
{
    for (const auto& member : si.getMember("rows")) {
        TableRow row;
        member >>= row;
        response.rows.push_back(std::move(row));
    }
}

void operator>>=(const SerializationInfo& si, HostList& list)
{
    for (const auto& member : si.getMember("hosts")) {
        ListedHost host;
        host.id = HostId(stringMember(member, "id"));
        host.dataCentre = DataCentre(stringMember(member, "data_centre"));
        host.controlAddress = addressMember(member, "control_address");
        host.leaving = isLeaving(member);
        list.hosts.push_back(std::move(host));
    }
    for (const auto& member : si.getMember("backends")) {
        ListedBackend backend;
        backend.id = stringMember(member, "id");
        backend.address = addressMember(member, "address");
        backend.leaving = isLeaving(member);
        list.backends.push_back(std::move(backend));
    }
}

} // namespace almondscale
