#include "RandomFault.h"

#include <csignal>
#include <vector>

namespace almondscale {

namespace {

    RandomFault stopped(FailureFleet::Node& node)
    {
        RandomFault fault;
        fault.description = "pause " + node.name;
        fault.begin = [&node] { node.process->signal(SIGSTOP); };
        fault.end = [&node] { node.process->signal(SIGCONT); };
        return fault;
    }

    RandomFault switched(FailureFleet::Node& node, const std::string& on, const std::string& off)
    {
        RandomFault fault;
        fault.description = node.name + " " + on;
        fault.begin = [&node, on] { FailureFleet::setFaults(node, on); };
        fault.end = [&node, off] { FailureFleet::setFaults(node, off); };
        return fault;
    }

    RandomFault engineFault(FailureFleet& fleet, std::size_t index, std::uint64_t kind)
    {
        FailureFleet::Node& engine = fleet.engine(index);
        RandomFault killed;
        switch (kind) {
        case 0:
            killed.description = "kill " + engine.name;
            killed.begin = [&engine] { engine.process->signal(SIGKILL); };
            killed.end = [&fleet, index] { fleet.restartEngine(index); };
            return killed;
        case 1:
            return stopped(engine);
        case 2:
            return switched(engine, R"({"crash":true})", "{}");
        case 3:
            return switched(engine, R"({"silent":true})", "{}");
        case 4:
            return switched(engine, R"({"cut_after_tokens":20})", R"({"cut_after_tokens":0})");
        case 5:
            return switched(engine, R"({"drop_events":50})", "{}");
        default:
            return switched(engine, R"({"step_ms":60})", R"({"step_ms":0})");
        }
    }

    RandomFault hostFault(FailureFleet& fleet, std::size_t index, std::uint64_t kind)
    {
        FailureFleet::Node& host = fleet.host(index);
        RandomFault fault = stopped(host);
        if (kind < 2) {
            const int signal = kind == 0 ? SIGKILL : SIGTERM;
            fault.description = (kind == 0 ? "kill " : "end ") + host.name;
            fault.begin = [&host, signal] { host.process->signal(signal); };
            fault.end = [&fleet, index] { fleet.restartHost(index); };
        }
        fault.failingHost = index;
        return fault;
    }

    RandomFault platformFault(FailureFleet& fleet, std::uint64_t kind)
    {
        FailureFleet::Node& platform = fleet.platform();
        switch (kind) {
        case 0:
            return switched(platform, R"({"down":true})", R"({"down":false})");
        case 1:
            return switched(platform, R"({"slow_ms":1500})", R"({"slow_ms":0})");
        case 2:
            return switched(platform, R"({"lose_answers":8})", R"({"lose_answers":0})");
        case 3:
            return switched(platform, R"({"silent":true})", "{}");
        default:
            return stopped(platform);
        }
    }

    RandomFault serviceFault(FailureFleet::Node& service, std::uint64_t kind)
    {
        switch (kind) {
        case 0:
            return switched(service, R"({"lose_answers":5})", R"({"lose_answers":0})");
        case 1:
            return switched(service, R"({"hang":3})", R"({"hang":0})");
        case 2:
            return switched(service, R"({"cut_after_bytes":9})", R"({"cut_after_bytes":0})");
        case 3:
            return switched(service, R"({"slow_ms":700})", R"({"slow_ms":0})");
        default:
            return stopped(service);
        }
    }

} // namespace

RandomFault drawFault(FailureFleet& fleet, const RandomSource& random)
{
    const std::uint64_t target = uniformBelow(random, 10);
    if (target < 4)
        return engineFault(fleet, uniformBelow(random, fleet.engineCount()), uniformBelow(random, 7));
    if (target < 6)
        return hostFault(fleet, uniformBelow(random, fleet.hostCount()), uniformBelow(random, 3));
    if (target < 8)
        return platformFault(fleet, uniformBelow(random, 5));
    return serviceFault(fleet.service(uniformBelow(random, 2)), uniformBelow(random, 5));
}

} // namespace almondscale
