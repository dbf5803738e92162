#pragma once

#include "Core/StoreEra.h"
#include "Platform/Table.h"

#include <string>

namespace almondscale {

// A call of the table as a value. State machines return their next call and are given its result, so that
// tests can interleave other events between the two.
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

// The result of a call: answered and row for a read, written for a write.
struct TableAnswer {
    // Whether a read got a response.
    bool answered = true;
    // The row that was read; std::nullopt if it is absent.
    std::optional<TableRow> row;
    WriteResult written;
    // The latest era that the store has stated.
    StoreEra era;
};

// Performs the call and blocks until its result is known.
TableAnswer performCall(const Table&, const TableCall&);

} // namespace almondscale
