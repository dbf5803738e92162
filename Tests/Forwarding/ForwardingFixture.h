#pragma once

#include "Forwarding/BootClock.h"
#include "Forwarding/CallerSession.h"
#include "Forwarding/HttpCaller.h"
#include "Support/LoopbackServer.h"
#include "platform/RequestWire.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace almondscale {

// A host with one route of each kind, in front of simulated servers.
class ForwardingFixture {
public:
    ForwardingFixture()
        : pool(loop.get_executor())
        , ownCalls(loop.get_executor())
        , wire(platform::makeServingWire())
        , placement(backends, DataCentre("a"))
        , retries(bounds(), 1)
        , livenessProbe(pool)
        , context { loop.get_executor(), wire, routes, backends, placement, retries, demand, speeds,
            decodeTimes, pool, ownCalls, livenessProbe, crashes, suspectLock(), seededRandom(1) }
        , address(freeLoopbackAddress())
        , listener(loop.get_executor(), [this](tcp::socket socket) {
            const auto session = std::make_shared<CallerSession>(context, std::move(socket));
            sessions.insert(session);
            spawn(loop.get_executor(), session->serve(), [this, session] { sessions.erase(session); });
        })
    {
        Manifest manifest;
        manifest.version = 1;
        manifest.routes = { route("/safe/", RouteKind::Safe, 2), route("/unsafe/", RouteKind::Unsafe, 2),
            route("/stream/", RouteKind::Stream, 2), route("/once/", RouteKind::Stream, 1) };
        manifest.routes[2].resumable = true;
        manifest.services[ServiceName("desk")] = ServiceSpec { ServiceName("desk"), 100, std::nullopt };
        EngineSpec spec;
        spec.slots = 64;
        spec.memory = TokenCount(400000);
        manifest.services[ServiceName("llm")] = ServiceSpec { ServiceName("llm"), 100, spec };
        routes.adopt(manifest);
        listener.start(address);
    }

    static RetryBounds bounds()
    {
        RetryBounds bounds;
        bounds.minRetries = 50;
        return bounds;
    }

    static Route route(const std::string& prefix, RouteKind kind, int attempts)
    {
        Route made;
        made.name = prefix;
        made.host = "h";
        made.pathPrefix = prefix;
        made.kind = kind;
        made.timeout = std::chrono::milliseconds(1500);
        made.target = std::chrono::milliseconds(800);
        made.maxAttempts = attempts;
        made.shares = { { ServiceName(kind == RouteKind::Stream ? "llm" : "desk"), 1 } };
        return made;
    }

    // Applies the change to every route and adopts the manifest.
    void changeRoutes(const std::function<void(Route&)>& change)
    {
        auto manifest = *routes.manifest();
        ++manifest.version;
        for (auto& each : manifest.routes)
            change(each);
        routes.adopt(manifest);
    }

    // Registers a server at an address where nothing listens.
    Address addAbsentServer(const std::string& id, std::optional<EngineRole> role = std::nullopt)
    {
        BackendRecord record;
        record.id = BackendId(id);
        record.service = ServiceName(role ? "llm" : "desk");
        record.address = freeLoopbackAddress();
        record.dataCentre = DataCentre("a");
        record.slots = 6;
        record.role = role;
        backends.put(record);
        return record.address;
    }

    // Adds a server that listens. Engines have a role.
    LoopbackServer& addServer(
        const std::string& id, std::optional<EngineRole> role, LoopbackServer::Answer answer)
    {
        servers.push_back(std::make_unique<LoopbackServer>(
            loop.get_executor(), addAbsentServer(id, role), std::move(answer)));
        return *servers.back();
    }

    static std::string answerText(const LoopbackServer::Request& request, int status, const std::string& body,
        const std::string& more = "Response-Signature: s\r\n")
    {
        return "HTTP/1.1 " + std::to_string(status)
            + " X\r\nRequest-Id: " + std::string(request["Request-Id"]) + "\r\n" + more
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    static LoopbackServer::Answer whole(
        int status, const std::string& body, const std::string& more = "Response-Signature: s\r\n")
    {
        return [=](const LoopbackServer::Request& request, tcp::socket& socket) -> awaitable<bool> {
            co_await LoopbackServer::write(socket, answerText(request, status, body, more));
            co_return true;
        };
    }

    static HttpRequestHead requestHead(
        const std::string& method, const std::string& target, const std::string& patienceMs = "1000")
    {
        HttpRequestHead head { method, target, {} };
        head.fields.add("Host", "h");
        head.fields.add("Request-Id", "r1");
        head.fields.add("Deadline-Ms", patienceMs);
        if (target.find("/stream/") == 0 || target.find("/once/") == 0) {
            head.fields.add("Token-Count", "1000,20");
            head.fields.add("Prefix-Hash", "aa:800,bb:200");
        }
        return head;
    }

    Result<HttpReply> ask(
        const std::string& method, const std::string& target, const std::string& patienceMs = "1000")
    {
        return askHead(requestHead(method, target, patienceMs));
    }

    Result<HttpReply> askHead(HttpRequestHead head, std::string body = {})
    {
        std::optional<Result<HttpReply>> result;
        spawn(loop.get_executor(), askInto(std::move(head), std::move(body), result));
        while (!result && loop.run_one() > 0) { }
        return *result;
    }

    // A suspect lock that only this host uses.
    SuspectLock suspectLock()
    {
        return { [this](CrashSubject subject, BackendId server) {
                    return acquireSuspectLock(subject, std::move(server));
                },
            [this](CrashSubject subject, BackendId server) {
                return releaseSuspectLock(subject, std::move(server));
            } };
    }

    void runFor(Nanoseconds time)
    {
        loop.run_for(std::chrono::duration_cast<std::chrono::milliseconds>(time));
    }

    boost::asio::io_context loop;
    ConnectionPool pool;
    ConnectionPool ownCalls;
    ServingWire wire;
    RouteTable routes;
    BackendTable backends;
    Placement placement;
    RetryLimiter retries;
    DemandMeter demand;
    EngineSpeeds speeds;
    DecodeTimes decodeTimes;
    LivenessProbe livenessProbe;
    CrashRecords crashes;
    // Contents and servers locked by suspects.
    std::set<CrashSubject> lockedSubjects;
    std::set<BackendId> lockedServers;
    ServingContext context;
    Address address;
    HttpListener listener;
    std::vector<std::unique_ptr<LoopbackServer>> servers;
    std::set<std::shared_ptr<CallerSession>> sessions;

private:
    awaitable<SuspectLockResult> acquireSuspectLock(CrashSubject subject, BackendId server)
    {
        if (lockedSubjects.count(subject) > 0)
            co_return SuspectLockResult::SubjectBusy;
        if (!lockedServers.insert(server).second)
            co_return SuspectLockResult::ServerBusy;
        lockedSubjects.insert(subject);
        co_return SuspectLockResult::Acquired;
    }

    awaitable<void> releaseSuspectLock(CrashSubject subject, BackendId server)
    {
        lockedSubjects.erase(subject);
        lockedServers.erase(server);
        co_return;
    }

    awaitable<void> askInto(HttpRequestHead head, std::string body, std::optional<Result<HttpReply>>& result)
    {
        ConnectionPool own(loop.get_executor());
        auto reply = co_await callHttp(own, address, std::move(head), std::move(body),
            Deadline::after(bootTime(), std::chrono::seconds(4)));
        result.emplace(std::move(reply));
    }
};

} // namespace almondscale
