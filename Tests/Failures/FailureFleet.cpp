#include "FailureFleet.h"

#include "Http/HttpClient.h"
#include "Http/HttpServer.h"
#include "Http/Json.h"
#include "Http/JsonBuilder.h"
#include "Load/LoadPlan.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace almondscale {

namespace {

    const std::string model = "sorter";
    constexpr const char* operatorsKey = "failure-tests-operators-key";
    // Long enough that a busy machine does not decide a verdict.
    constexpr Nanoseconds startTimeout = std::chrono::seconds(60);
    constexpr Nanoseconds pollInterval = std::chrono::milliseconds(50);
    constexpr Nanoseconds callTimeout = std::chrono::seconds(20);
    // A port that was free may be taken before the program listens on it.
    constexpr int startAttempts = 5;
    constexpr int statusOk = 200;

    CallResult call(const Address& to, const std::string& method, const std::string& path,
        const std::string& body, Nanoseconds timeout = callTimeout)
    {
        HttpCall call;
        call.to = to;
        call.method = method;
        call.path = path;
        call.body = body;
        call.headers["Content-Type"] = "application/json";
        call.deadline = Deadline::after(monotonicClock()(), timeout);
        return callOnce(call);
    }

    bool succeeds(const CallResult& result) { return result.ok() && result.response->status == statusOk; }

    // Repeats a check until it holds; false if it never does.
    template <typename Check> bool eventually(const Check& check)
    {
        const MonotonicTime end = monotonicClock()() + startTimeout;
        while (monotonicClock()() < end) {
            if (check())
                return true;
            std::this_thread::sleep_for(pollInterval);
        }
        return false;
    }

    std::filesystem::path temporaryFolder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "almondscale-failures-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr)
            throw std::runtime_error("no temporary folder");
        return name;
    }

    // An address of loopback for this test process alone: on a shared one, a host that was
    // killed could come back to a port that a fleet of another process has taken since.
    std::string ownIp()
    {
        constexpr int byteBits = 8;
        constexpr int lowByte = 255;
        // The numbers of processes have 22 bits; 127.0 is left to others.
        constexpr int firstNet = 64;
        const int id = ::getpid();
        return "127." + std::to_string(firstNet + (id >> 2 * byteBits) % firstNet) + "."
            + std::to_string(id >> byteBits & lowByte) + "." + std::to_string(id & lowByte);
    }

    Address freeAddress() { return { ownIp(), freePort(ownIp()) }; }

} // namespace

FailureFleet::FailureFleet(const FleetSize& size)
    : m_size(size)
    , m_folder(temporaryFolder())
{
    m_platform.name = "platform";
    startStandIn(m_platform, "almondscale-platform", { "--host-lag-ms", "200" });
    for (std::size_t i = 0; i < size.centres * size.enginesPerCentre; ++i) {
        Node& engine = m_engines.emplace_back();
        engine.name = "engine-" + std::to_string(i);
        std::vector<std::string> arguments { "--id", engine.name, "--model", model, "--fencing",
            i % 2 == 0 ? "checked" : "ignored" };
        arguments.insert(arguments.end(), size.engineArguments.begin(), size.engineArguments.end());
        startStandIn(engine, "almondscale-engine", arguments);
    }
    for (std::size_t i = 0; i < size.centres; ++i) {
        Node& service = m_services.emplace_back();
        service.name = "service-" + std::to_string(i);
        startStandIn(service, "almondscale-service", {});
    }
    m_hosts.resize(size.hosts);
    for (std::size_t i = 0; i < size.hosts; ++i)
        startHost(m_hosts[i], i);
    applyRules();
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < size.hosts; ++i)
        all.push_back(i);
    if (!answering(all))
        throw std::runtime_error("the fleet does not answer; its logs are in " + m_folder.string());
}

FailureFleet::~FailureFleet()
{
    m_hosts.clear();
    m_engines.clear();
    m_services.clear();
    m_platform.process.reset();
    // Kept for the one who looks into a breach.
    if (m_keepLogs || std::getenv("ALMONDSCALE_KEEP_LOGS") != nullptr)
        return;
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void FailureFleet::startStandIn(Node& node, const std::string& program, std::vector<std::string> arguments)
{
    const bool again = !node.address.empty();
    arguments.emplace_back("--listen");
    arguments.push_back(again ? node.address.text() : ownIp() + ":0");
    for (int attempt = 0; attempt < startAttempts; ++attempt) {
        node.process = std::make_unique<ChildProcess>(program, arguments, file(node.name + ".log"));
        const auto address = parseAddress(node.process->outputValue("listening"));
        if (!address)
            continue;
        node.address = *address;
        return;
    }
    throw std::runtime_error(node.name + " does not start");
}

void FailureFleet::startHost(HostNode& host, std::size_t index)
{
    Node& node = host.node;
    node.name = "host-" + std::to_string(index);
    for (int attempt = 0; attempt < startAttempts; ++attempt) {
        if (attempt > 0 || node.address.empty()) {
            node.address = freeAddress();
            host.operators = freeAddress();
            host.peers = freeAddress();
        }
        host.settingsFile = file(node.name + ".ini");
        std::ofstream settings(host.settingsFile);
        settings << "[host]\nid = " << node.name << "\ndata_centre = " << centreName(index)
                 << "\n[callers]\nlisten = " << node.address.text()
                 << "\n[operators]\nlisten = " << host.operators.text() << "\nkey = " << operatorsKey
                 << "\n[peers]\nlisten = " << host.peers.text()
                 << "\nkey = failure-tests-peers-key\n[platform]\naddress = " << m_platform.address.text()
                 << "\n[serving]\nbalancer_grace_ms = 200\nstream_silence_ms = 500\n[log]\nlevel = debug\n";
        settings.close();
        JsonBuilder entry;
        entry.text("data_centre", centreName(index)).text("control_address", host.peers.text());
        call(m_platform.address, "PUT", "/hosts/" + node.name, entry.text("state", "live").finish());
        node.process = std::make_unique<ChildProcess>("almondscaled",
            std::vector<std::string> { "--settings", host.settingsFile }, file(node.name + ".log"));
        const auto upOrEnded
            = [&] { return node.process->ended() || succeeds(call(node.address, "GET", "/healthz", "")); };
        // Another process may have got the port and answer in its place.
        if (eventually(upOrEnded) && !node.process->ended())
            return;
    }
    throw std::runtime_error(node.name + " does not start; its logs are in " + m_folder.string());
}

std::optional<std::size_t> FailureFleet::orderEngine(
    std::size_t engine, const std::string& kind, const std::string& value)
{
    const std::string body = JsonBuilder()
                                 .text("engine", m_engines.at(engine).name)
                                 .text("kind", kind)
                                 .text("value", value)
                                 .finish();
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        HttpCall order;
        order.to = m_hosts[i].operators;
        order.method = "POST";
        order.path = "/engines/order";
        order.headers["x-operator-key"] = operatorsKey;
        order.body = body;
        order.deadline = Deadline::after(monotonicClock()(), std::chrono::seconds(1));
        const CallResult result = callOnce(order);
        if (result.ok() && result.response->status == 202)
            return i;
    }
    return std::nullopt;
}

std::string FailureFleet::engineState(const Node& engine)
{
    HttpCall ask;
    ask.to = engine.address;
    ask.path = "/state";
    ask.deadline = Deadline::after(monotonicClock()(), std::chrono::seconds(10));
    const CallResult result = callOnce(ask);
    return result.ok() ? result.response->body : std::string();
}

void FailureFleet::applyRules()
{
    std::ofstream rules(file("rules"));
    rules << "model " << model << " context-tokens=20000 # asked for by the tests\n"
          << "service booking # asked for by the tests\n"
          << "booking booking method=POST path=/bookings # asked for by the tests\n"
          << "limit * requests-per-second=100000 # asked for by the tests\n"
          << "priority * highest=5 # asked for by the tests\n";
    for (std::size_t i = 0; i < m_engines.size(); ++i)
        rules << "engine " << m_engines[i].name << " model=" << model
              << " data-centre=" << centreName(i / m_size.enginesPerCentre)
              << " address=" << m_engines[i].address.text()
              << " fencing=" << (i % 2 == 0 ? "checked" : "ignored") << " # asked for by the tests\n";
    for (std::size_t i = 0; i < m_services.size(); ++i)
        rules << "instance booking data-centre=" << centreName(i)
              << " address=" << m_services[i].address.text() << " # asked for by the tests\n";
    rules.close();
    std::ofstream(file("operators.key")) << operatorsKey << "\n";
    const std::vector<std::string> arguments { "--host", m_hosts.front().operators.text(), "--key-file",
        file("operators.key"), "rules", "apply", file("rules"), "--author", "tests" };
    // The host may not have reached the platform yet.
    const bool applied = eventually([&] {
        ChildProcess tool("almondscale", arguments, file("apply.log"));
        return tool.wait() == 0;
    });
    if (!applied)
        throw std::runtime_error("the rules are not accepted; see apply.log in " + m_folder.string());
}

void FailureFleet::restartEngine(std::size_t index)
{
    Node& engine = m_engines.at(index);
    engine.process.reset();
    std::vector<std::string> arguments { "--id", engine.name, "--model", model, "--fencing",
        index % 2 == 0 ? "checked" : "ignored" };
    arguments.insert(arguments.end(), m_size.engineArguments.begin(), m_size.engineArguments.end());
    startStandIn(engine, "almondscale-engine", arguments);
}

void FailureFleet::restartHost(std::size_t index)
{
    m_hosts.at(index).node.process.reset();
    startHost(m_hosts[index], index);
}

bool FailureFleet::answering(const std::vector<std::size_t>& hosts)
{
    PlannedCall planned;
    planned.promptWords = 3;
    planned.maxTokens = 2;
    const LoadOptions options = load("completion", 0);
    for (const std::size_t host : hosts) {
        CallOutcome last;
        const bool answers = eventually([&] {
            ++planned.promptSeed;
            last = sendCall(planned, options.mix.lines.front(), options.calls, m_hosts[host].node.address,
                monotonicClock()());
            return last.kind == CallOutcome::Kind::Complete;
        });
        if (answers)
            continue;
        m_keepLogs = true;
        std::cerr << m_hosts[host].node.name << " completed none of " << planned.promptSeed
                  << " calls; the last one was " << (last.refusal.empty() ? "no refusal" : last.refusal)
                  << " (" << last.fault << "); logs are in " << m_folder.string() << "\n";
        return false;
    }
    return true;
}

void FailureFleet::setFaults(const Node& node, const std::string& json)
{
    // The answer may be lost to the fault itself.
    call(node.address, "POST", "/faults", json);
}

LoadOptions FailureFleet::load(
    const std::string& mix, std::uint64_t seed, const std::vector<std::size_t>& hosts) const
{
    LoadOptions options;
    std::string error;
    const auto read = parseMix(mix, error);
    if (!read)
        throw std::runtime_error(error);
    options.mix = *read;
    options.seed = seed;
    options.calls = { model, "booking", std::chrono::seconds(30) };
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        if (hosts.empty() || std::find(hosts.begin(), hosts.end(), i) != hosts.end())
            options.hosts.push_back(m_hosts[i].node.address);
    }
    for (const Node& service : m_services)
        options.services.push_back(service.address);
    options.callsPerSecond = 40;
    options.length = std::chrono::seconds(4);
    return options;
}

std::vector<std::string> FailureFleet::repeatedAttempts() const
{
    std::vector<std::string> repeated;
    for (const Node& engine : m_engines) {
        const CallResult result = call(engine.address, "GET", "/stats", "");
        const auto json = result.ok() ? parseJson(result.response->body) : std::nullopt;
        const JsonValue* attempts = json ? jsonMember(*json, "attempts") : nullptr;
        if (attempts == nullptr)
            continue;
        for (const auto& entry : attempts->GetObject()) {
            if (jsonInteger(entry.value, "runs") > 1)
                repeated.emplace_back(entry.name.GetString());
        }
    }
    return repeated;
}

std::int64_t FailureFleet::crashes(std::size_t centre) const
{
    std::int64_t count = 0;
    for (std::size_t i = 0; i < m_size.enginesPerCentre; ++i) {
        const Node& engine = m_engines.at(centre * m_size.enginesPerCentre + i);
        // A crashed engine tells after its time down.
        eventually([&] {
            const CallResult result = call(engine.address, "GET", "/stats", "");
            const auto json = result.ok() ? parseJson(result.response->body) : std::nullopt;
            if (!json)
                return false;
            count += jsonInteger(*json, "crashes");
            return true;
        });
    }
    return count;
}

} // namespace almondscale
