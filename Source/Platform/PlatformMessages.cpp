#include "Platform/PlatformMessages.h"

#include <stdexcept>

namespace almondscale {

namespace {

    using cxxtools::SerializationInfo;

    std::string textOf(const SerializationInfo& si, const char* name)
    {
        std::string value;
        si.getMember(name) >>= value;
        return value;
    }

    RowVersion versionOf(const SerializationInfo& si)
    {
        std::uint64_t value = 0;
        si.getMember("version") >>= value;
        return RowVersion(value);
    }

    Address addressOf(const SerializationInfo& si, const char* name)
    {
        const auto address = parseAddress(textOf(si, name));
        if (!address)
            throw std::invalid_argument("malformed address in the host list");
        return *address;
    }

    bool leavingOf(const SerializationInfo& si) { return textOf(si, "state") == "leaving"; }

} // namespace

void operator<<=(SerializationInfo& si, const WriteMessage& message)
{
    si.addMember("value") <<= message.value;
    si.addMember("expected") <<= message.expected.count();
    si.addMember("writer") <<= message.writer.text();
}

void operator>>=(const SerializationInfo& si, WrittenMessage& message) { message.version = versionOf(si); }

void operator>>=(const SerializationInfo& si, TableRow& row)
{
    row.key = textOf(si, "key");
    row.value = textOf(si, "value");
    row.version = versionOf(si);
    row.writer = WriterId(textOf(si, "writer"));
}

void operator>>=(const SerializationInfo& si, RowsMessage& message)
{
    for (const auto& member : si.getMember("rows")) {
        TableRow row;
        member >>= row;
        message.rows.push_back(std::move(row));
    }
}

void operator>>=(const SerializationInfo& si, HostList& list)
{
    for (const auto& member : si.getMember("hosts")) {
        ListedHost host;
        host.id = HostId(textOf(member, "id"));
        host.dataCentre = DataCentre(textOf(member, "data_centre"));
        host.controlAddress = addressOf(member, "control_address");
        host.leaving = leavingOf(member);
        list.hosts.push_back(std::move(host));
    }
    for (const auto& member : si.getMember("backends")) {
        ListedBackend backend;
        backend.id = textOf(member, "id");
        backend.address = addressOf(member, "address");
        backend.leaving = leavingOf(member);
        list.backends.push_back(std::move(backend));
    }
}

} // namespace almondscale
