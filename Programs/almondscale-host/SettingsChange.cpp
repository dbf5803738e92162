#include "SettingsChange.h"

#include <initializer_list>
#include <utility>

namespace almondscale {

namespace {

    std::string joinNames(std::initializer_list<std::pair<const char*, bool>> names)
    {
        std::string joined;
        for (const auto& [name, wanted] : names) {
            if (!wanted)
                continue;
            if (!joined.empty())
                joined += ',';
            joined += name;
        }
        return joined;
    }

} // namespace

std::string SettingsChange::applied() const
{
    return joinNames({ { "retries", retries }, { "seeds", seeds }, { "shutdown_time", shutdownTime } });
}

SettingsChange compareSettings(const platform::NodeSettings& running, const platform::NodeSettings& read)
{
    SettingsChange change;
    change.retries = !(running.retries == read.retries);
    change.seeds = running.seeds != read.seeds;
    change.shutdownTime = running.shutdownTime != read.shutdownTime;
    change.needsRestart = joinNames(
        { { "host", running.host != read.host }, { "data_centre", running.dataCentre != read.dataCentre },
            { "callers", running.callers != read.callers }, { "ready", running.ready != read.ready },
            { "peers", running.peers != read.peers }, { "store", running.store != read.store },
            { "lease", running.lease != read.lease }, { "strength", running.strength != read.strength },
            { "table_bounds", running.tableBounds != read.tableBounds } });
    return change;
}

} // namespace almondscale
