#include "Shift/Fleet.h"

#include <sstream>

namespace almondscale {

namespace {

    // The share of the whole that falls to one of several parts, the first ones getting the rest.
    int share(int whole, int part, int parts) { return whole / parts + (part < whole % parts ? 1 : 0); }

    bool setValue(Fleet& fleet, const std::string& key, int value)
    {
        if (key == "data_centres")
            fleet.dataCentres = value;
        else if (key == "engines")
            fleet.engines = value;
        else if (key == "hosts")
            fleet.hosts = value;
        else if (key == "role_change_ms")
            fleet.roleChange = std::chrono::milliseconds(value);
        else
            return false;
        return true;
    }

} // namespace

int Fleet::enginesIn(int dataCentre, int model, int models) const
{
    return share(share(engines, dataCentre, dataCentres), model, models);
}

int Fleet::hostsIn(int dataCentre) const { return share(hosts, dataCentre, dataCentres); }

std::optional<Fleet> builtInFleet(const std::string& name)
{
    Fleet fleet;
    fleet.name = name;
    if (name == "nigam")
        return fleet;
    if (name != "portones")
        return std::nullopt;
    fleet.engines = 18;
    return fleet;
}

std::optional<Fleet> readFleet(const std::string& text, std::string& error)
{
    Fleet fleet;
    std::istringstream in(text);
    std::string line;
    for (int number = 1; std::getline(in, line); ++number) {
        line = line.substr(0, line.find('#'));
        if (line.find_first_not_of(" \t") == std::string::npos)
            continue;
        const auto equals = line.find('=');
        std::istringstream value(equals == std::string::npos ? "" : line.substr(equals + 1));
        int read = 0;
        if (!(value >> read) || read <= 0 || !setValue(fleet, line.substr(0, equals), read)) {
            error = "line " + std::to_string(number)
                + ": expected data_centres, engines, hosts or role_change_ms = a number above 0";
            return std::nullopt;
        }
    }
    if (fleet.engines < fleet.dataCentres || fleet.hosts < fleet.dataCentres) {
        error = "each data centre needs an engine and a host; raise engines or hosts";
        return std::nullopt;
    }
    return fleet;
}

} // namespace almondscale
