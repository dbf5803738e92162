#pragma once

#include <array>

namespace almondscale {

// The tables that every host follows.
enum class SharedTable {
    // The operators' configuration.
    Manifest,
    // The registrations of backend servers.
    Backends,
    // The entry hosts and where they listen for each other.
    Hosts,
};

inline constexpr std::array<SharedTable, 3> sharedTables { SharedTable::Manifest, SharedTable::Backends,
    SharedTable::Hosts };

inline const char* sharedTableWord(SharedTable table)
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
