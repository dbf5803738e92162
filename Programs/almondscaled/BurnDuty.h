#pragma once

#include "Core/HostId.h"
#include "PeriodicDuty.h"
#include "Report/BurnRecorder.h"
#include "Report/BurnReport.h"
#include "RulesHolder.h"

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace almondscale {

// What the burn report needs of the host.
struct BurnDutyHooks {
    std::function<std::vector<HostId>()> livePeers;
    // The summary that a peer has made of its own requests.
    std::function<std::optional<std::string>(const HostId&)> pullSummary;
};

// Counts this host's requests against their objectives and keeps the last counts of its peers, so that
// those of a lost host are not lost with it; safe for use by many threads.
class BurnDuty {
public:
    BurnDuty(const HostId& own, Incarnation, const RulesHolder&, BurnDutyHooks);

    void start() { m_duty.start(); }
    void stop() { m_duty.stop(); }

    void record(const RequestOutcome&);
    // What this host counted itself, for its peers.
    std::string ownSummary();
    // The report over all hosts in the format "json", "svg" or "table".
    std::string render(const std::string& format);

private:
    void pullSummaries();

    BurnDutyHooks m_hooks;
    std::mutex m_mutex;
    BurnRecorder m_recorder;
    BurnReport m_report;
    PeriodicDuty m_duty;
};

} // namespace almondscale
