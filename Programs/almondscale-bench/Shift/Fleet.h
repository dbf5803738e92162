#pragma once

#include "Roles/EngineProfile.h"

#include <optional>
#include <string>

namespace almondscale {

// The engines and hosts of one user.
struct Fleet {
    std::string name;
    int dataCentres = 3;
    int engines = 9;
    int hosts = 8;
    EngineProfile speeds;
    // How long an engine is away once it has finished its requests.
    Nanoseconds roleChange = std::chrono::seconds(8);

    // How the engines and hosts are spread.
    int enginesIn(int dataCentre, int model, int models) const;
    int hostsIn(int dataCentre) const;
};

// "nigam" or "portones"; nothing for an unknown name.
std::optional<Fleet> builtInFleet(const std::string& name);

// Lines of KEY=VALUE with the keys data_centres, engines, hosts and role_change_ms.
std::optional<Fleet> readFleet(const std::string& text, std::string& error);

} // namespace almondscale
