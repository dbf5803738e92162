#include "Authority/EngineRow.h"

#include "Platform/RowValue.h"

#include <cxxtools/serializationinfo.h>
#include <stdexcept>

namespace almondscale {

static void operator<<=(cxxtools::SerializationInfo& si, const EngineRow& row)
{
    si.addMember("order") <<= row.order.order.count();
    si.addMember("fencing") <<= row.order.fencing.count();
    si.addMember("kind") <<= std::string(orderKindName(row.order.kind));
    si.addMember("value") <<= row.order.value;
    si.addMember("finished") <<= row.finished;
}

static void operator>>=(const cxxtools::SerializationInfo& si, EngineRow& row)
{
    std::uint64_t order = 0;
    std::uint64_t fencing = 0;
    std::string kind;
    si.getMember("order") >>= order;
    si.getMember("fencing") >>= fencing;
    si.getMember("kind") >>= kind;
    si.getMember("value") >>= row.order.value;
    si.getMember("finished") >>= row.finished;
    const auto parsed = parseOrderKind(kind);
    if (!parsed)
        throw std::invalid_argument("Engine row has an unknown order kind.");
    row.order.order = OrderNumber(order);
    row.order.fencing = FencingToken(fencing);
    row.order.kind = *parsed;
}

std::string engineRowKey(const EngineId& engine) { return engineRowPrefix + engine.text(); }

std::string encodeEngineRow(const EngineRow& row) { return encodeRowValue(row); }

std::optional<EngineRow> decodeEngineRow(const std::string& text) { return decodeRowValue<EngineRow>(text); }

std::optional<EngineOrder> unfinishedOrder(const EngineRow& row, const EngineState& state)
{
    const bool shown = state.valueOf(row.order.kind) == row.order.value;
    if (row.order.order == OrderNumber(0) || shown)
        return std::nullopt;
    return row.order;
}

} // namespace almondscale
