#pragma once

#include "Core/Result.h"
#include "CrashGuard.h"
#include "Dispatch/QuarantineScheduler.h"
#include "EngineDirectory.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace almondscale {

// A request under suspicion, as its host names it to the keeper.
struct QuarantineTicket {
    ModelName model;
    QuarantineEntry entry;
};

// Runs the quarantine lanes of one data centre, on the host that its peers agree on.
class QuarantineKeeper {
public:
    // The item by which the keeper tells which engines are kept free.
    static constexpr const char* itemPrefix = "quarantine/";

    using Publish = std::function<void(const std::string& key, const std::string& value)>;

    QuarantineKeeper(EngineDirectory&, CrashGuard&, DataCentre own, Clock, Publish);

    // The engine that the request may have to itself now, or nothing while it must wait.
    std::optional<EngineId> ask(const QuarantineTicket&);
    void finish(const QuarantineTicket&);
    // Chooses the engines that are kept free; call it every 100 ms.
    void tick();

private:
    using Holder = std::pair<HostId, RequestId>;

    struct Lane {
        QuarantineScheduler lane;
        std::map<Holder, EngineId> granted;
        std::set<Holder> known;
        std::string published;
    };

    void grantAll(Lane&);
    std::vector<EngineId> openEngines(const ModelName&) const;

    EngineDirectory& m_engines;
    CrashGuard& m_guard;
    DataCentre m_own;
    Clock m_clock;
    Publish m_publish;
    std::mutex m_mutex;
    std::map<ModelName, Lane> m_lanes;
};

// A ticket as JSON, and back.
std::string encodeTicket(const QuarantineTicket&, const char* action, MonotonicTime now);
std::optional<QuarantineTicket> decodeTicket(const std::string&, MonotonicTime now);

} // namespace almondscale
