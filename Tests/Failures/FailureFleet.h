#pragma once

#include "ChildProcess.h"

#include "Core/Address.h"
#include "Load/LoadOptions.h"
#include "Load/LoadRun.h"

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace almondscale {

// How large a fleet is, and the settings that tests change.
struct FleetSize {
    std::size_t centres = 2;
    std::size_t enginesPerCentre = 3;
    // The hosts go to the data centres in turns.
    std::size_t hosts = 3;
    std::vector<std::string> engineArguments;
};

// A fleet of real processes: the platform, engines and services as stand-ins, and hosts.
class FailureFleet {
public:
    explicit FailureFleet(const FleetSize& = {});
    ~FailureFleet();
    FailureFleet(const FailureFleet&) = delete;
    FailureFleet& operator=(const FailureFleet&) = delete;

    // One process of the fleet and where it listens.
    struct Node {
        std::string name;
        Address address;
        std::unique_ptr<ChildProcess> process;
    };

    Node& platform() { return m_platform; }
    Node& engine(std::size_t index) { return m_engines.at(index); }
    std::size_t engineCount() const { return m_engines.size(); }
    Node& service(std::size_t index) { return m_services.at(index); }
    Node& host(std::size_t index) { return m_hosts.at(index).node; }
    std::size_t hostCount() const { return m_hosts.size(); }

    // Starts a process again at the address that it had.
    void restartEngine(std::size_t index);
    void restartHost(std::size_t index);
    // Waits until the hosts answer a completion in full; false if one never does, which
    // is told on standard error.
    bool answering(const std::vector<std::size_t>& hosts);

    // Asks every host to give the order; the host that holds the lease and has taken it, if any.
    std::optional<std::size_t> orderEngine(
        std::size_t engine, const std::string& kind, const std::string& value);
    // What an engine says of itself, as JSON.
    static std::string engineState(const Node&);

    // Where the logs are.
    const std::filesystem::path& folder() const { return m_folder; }
    // Sets faults of a stand-in by their JSON.
    static void setFaults(const Node&, const std::string& json);
    // Load on some of the hosts by the text of a mix; without hosts, on all of them.
    LoadOptions load(
        const std::string& mix, std::uint64_t seed, const std::vector<std::size_t>& hosts = {}) const;
    // The attempts that an engine ran more than once, over all engines that answer.
    std::vector<std::string> repeatedAttempts() const;
    // How often the engines of a data centre crashed.
    std::int64_t crashes(std::size_t centre) const;

private:
    struct HostNode {
        Node node;
        Address operators;
        Address peers;
        std::string settingsFile;
    };

    void startStandIn(Node&, const std::string& program, std::vector<std::string> arguments);
    void startHost(HostNode&, std::size_t index);
    void applyRules();
    std::string centreName(std::size_t index) const
    {
        return "centre-" + std::to_string(index % m_size.centres);
    }
    std::string file(const std::string& name) const { return (m_folder / name).string(); }

    FleetSize m_size;
    std::filesystem::path m_folder;
    // A host did not answer; the logs tell why.
    bool m_keepLogs = false;
    Node m_platform;
    std::vector<Node> m_engines;
    std::vector<Node> m_services;
    std::vector<HostNode> m_hosts;
};

} // namespace almondscale
