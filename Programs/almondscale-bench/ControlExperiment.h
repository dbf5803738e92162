#pragma once

#include "ControlFigures.h"
#include "ControlFixture.h"
#include "ControlOptions.h"

#include <map>
#include <set>
#include <vector>

namespace almondscale {

// Runs hosts through changes of the rules, failures and replacements, and measures what it costs.
class ControlExperiment {
public:
    explicit ControlExperiment(const ControlOptions&);

    ControlFigures run();

private:
    // A change of the rules that is not yet in force everywhere.
    struct Change {
        RulesVersion version;
        MonotonicTime appliedAt;
        // The hosts that ran when it was applied, by incarnation.
        std::set<Incarnation> waiting;
    };

    // A process that has ended, and the hosts that do not know yet.
    struct Ended {
        MonotonicTime endedAt;
        std::set<Incarnation> observers;
    };

    void startAll();
    void measure();
    void step(double seconds);
    bool due(double perDay, double seconds);
    RulesChange rulesOf(RulesVersion) const;
    void applyChange();
    void finishChanges();
    void fail();
    void replace();
    void startPending();
    void publishDemand();
    void kill(ControlHost&);
    void startHost(const HostId&, const Address&, const DataCentre&);
    ControlHost& anyHost();
    void onReported(const ControlHost& at, const Member&);
    void collect();

    ControlOptions m_options;
    RandomSource m_random;
    ControlFixture m_fixture;
    ControlFigures m_figures;
    bool m_measuring = false;
    std::uint64_t m_names = 0;
    std::uint64_t m_rules = 0;
    std::uint64_t m_readsBefore = 0;
    std::vector<SeedHost> m_listed;
    std::vector<Change> m_changes;
    std::map<Incarnation, Ended> m_ended;
    std::vector<double> m_detections;
    // Hosts to start, and when.
    std::multimap<MonotonicTime, SeedHost> m_starting;
    std::map<Incarnation, MonotonicTime> m_suspectedAt;
    std::set<Incarnation> m_falselyDead;
    // What hosts that have ended had sent and received.
    double m_endedBytes = 0;
    double m_endedRulesBytes = 0;
    MonotonicTime m_measuredFrom;
    MonotonicTime m_demandAt;
};

} // namespace almondscale
