#include "Platform/TableCall.h"

namespace almondscale {

TableAnswer performCall(const Table& table, const TableCall& call)
{
    TableAnswer answer;
    if (call.kind == TableCall::Kind::Write) {
        answer.written = table.compareAndSet(call.key, call.value, call.expected, call.writer);
        return answer;
    }
    auto row = table.read(call.key);
    answer.answered = row.ok();
    if (answer.answered)
        answer.row = std::move(row.value());
    return answer;
}

} // namespace almondscale
