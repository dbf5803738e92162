#include "Authority/LeaseRow.h"

#include "Platform/RowValue.h"

#include <cxxtools/serializationinfo.h>

namespace almondscale {

static void operator<<=(cxxtools::SerializationInfo& si, const LeaseRow& row)
{
    si.addMember("holder") <<= row.holder.text();
    si.addMember("incarnation") <<= row.incarnation.count();
    si.addMember("fencing") <<= row.fencing.count();
    si.addMember("duration_ns") <<= static_cast<std::int64_t>(row.duration.count());
    si.addMember("released") <<= row.released;
}

static void operator>>=(const cxxtools::SerializationInfo& si, LeaseRow& row)
{
    std::string holder;
    std::uint64_t incarnation = 0;
    std::uint64_t fencing = 0;
    std::int64_t duration = 0;
    si.getMember("holder") >>= holder;
    si.getMember("incarnation") >>= incarnation;
    si.getMember("fencing") >>= fencing;
    si.getMember("duration_ns") >>= duration;
    si.getMember("released") >>= row.released;
    row.holder = HostId(holder);
    row.incarnation = Incarnation(incarnation);
    row.fencing = FencingToken(fencing);
    row.duration = Nanoseconds(duration);
}

std::string leaseRowKey(const DataCentre& dataCentre, const ModelName& model)
{
    return leaseRowPrefix + dataCentre.text() + "/" + model.text();
}

std::string encodeLeaseRow(const LeaseRow& row) { return encodeRowValue(row); }

std::optional<LeaseRow> decodeLeaseRow(const std::string& text) { return decodeRowValue<LeaseRow>(text); }

} // namespace almondscale
