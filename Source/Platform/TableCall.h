#pragma once

#include "Platform/Table.h"

#include <string>

namespace almondscale {

// One call of the table, as a value: a decision names its next call and is told
// the answer, so that a test can put anything between the two.
struct TableCall {
    enum class Kind {
        Read,
        Write,
    };

    Kind kind = Kind::Read;
    std::string key;
    std::string value;
    RowVersion expected;
    WriterId writer;
};

// The answer to a call; only the members for the kind of call are set.
struct TableAnswer {
    // Whether a read was answered.
    bool answered = true;
    // The row that was read; nothing if it is absent.
    std::optional<TableRow> row;
    WriteResult written;
};

// Makes the call and waits for its answer.
TableAnswer performCall(const Table&, const TableCall&);

} // namespace almondscale
