#pragma once

#include "Authority/LeaseRow.h"
#include "Serving/HostRecord.h"
#include "platform/EngineCalls.h"
#include "platform/StoreClient.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace almondscale {

// Reads the platform's store, and asks those whom it lists. Every call waits for its answer.
class StoreView {
public:
    explicit StoreView(const Address& store);
    ~StoreView();

    Result<StoredRows> read(SharedTable);
    // The lease of the right to give orders; nothing if nobody ever took it.
    Result<std::optional<LeaseRow>> roleLease();

    // The reports of the engines, all asked at once; nothing from those that do not answer.
    std::vector<std::optional<platform::EngineReport>> askEngines(const std::vector<BackendRecord>&);
    // The status pages of the hosts, in the same way.
    std::vector<std::optional<std::string>> askHosts(const std::vector<HostRecord>&);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
