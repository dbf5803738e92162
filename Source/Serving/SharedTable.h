#pragma once

#include <array>

namespace almondscale {

// The tables of the store that every host follows.
enum class SharedTable {
    // The configuration set by the operators.
    Manifest,
    // The registrations of backend servers.
    Backends,
    // The registrations of entry hosts, with their peer addresses.
    Hosts,
};

inline constexpr std::array<SharedTable, 3> sharedTables { SharedTable::Manifest, SharedTable::Backends,
    SharedTable::Hosts };

inline const char* sharedTableName(SharedTable table)
{
    switch (table) {
    case SharedTable::Manifest:
        return "manifest";
    case SharedTable::Backends:
        return "backends";
    case SharedTable::Hosts:
        return "hosts";
    }
    return "";
}

} // namespace almondscale
