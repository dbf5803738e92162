#include "Serving/HostRecord.h"

#include "Http/Json.h"
#include "Http/JsonBuilder.h"

namespace almondscale {

std::string encodeHostRecord(const HostRecord& record)
{
    return JsonBuilder()
        .text("host", record.id.text())
        .text("data_centre", record.dataCentre.text())
        .text("peers", record.peerAddress.text())
        .number("strength", record.strength)
        .finish();
}

std::optional<HostRecord> decodeHostRecord(const std::string& text)
{
    const auto json = parseJson(text);
    if (!json)
        return std::nullopt;
    const auto address = parseAddress(jsonString(*json, "peers"));
    HostRecord record;
    record.id = HostId(jsonString(*json, "host"));
    record.dataCentre = DataCentre(jsonString(*json, "data_centre"));
    record.strength = jsonNumber(*json, "strength");
    if (!address || record.id.empty())
        return std::nullopt;
    record.peerAddress = *address;
    return record;
}

std::vector<HostRecord> decodeHosts(const StoredRows& rows)
{
    std::vector<HostRecord> hosts;
    for (const auto& row : rows.rows) {
        if (auto record = decodeHostRecord(row.value))
            hosts.push_back(std::move(*record));
    }
    return hosts;
}

bool ranksBefore(const HostRecord& a, const HostRecord& b)
{
    if (a.strength != b.strength)
        return a.strength > b.strength;
    return a.id < b.id;
}

} // namespace almondscale
