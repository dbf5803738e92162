#include "StatusPages.h"

#include "Http/JsonBuilder.h"

namespace almondscale {

namespace {

    const char* stateName(const Backend& backend, const BackendTable& backends, MonotonicTime now)
    {
        if (backend.record.draining)
            return "draining";
        if (backends.isLeaving(backend))
            return "leaving";
        if (!backends.maySendTo(backend, now))
            return "barred";
        if (backend.unreachable)
            return "unreachable";
        return now < backend.ejectedUntil ? "avoided" : "ready";
    }

    // The source of the notice that keeps new work from the server; empty if there is none.
    const char* noticeSource(const Backend& backend, const BackendTable& backends, MonotonicTime now)
    {
        if (backend.record.draining)
            return "registration";
        if (const auto word = backends.leavingNotice(backend.record.id))
            return word->direct ? "own answer" : "other host";
        return backends.backoffUntil(backend.record.id).passed(now) ? "" : "own answer";
    }

    const char* suspicionName(Suspicion suspicion)
    {
        switch (suspicion) {
        case Suspicion::None:
            return "watched";
        case Suspicion::Isolate:
            return "isolated";
        case Suspicion::Refuse:
            return "refused";
        }
        return "";
    }

    std::int64_t msLeft(Deadline deadline, MonotonicTime now)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(deadline.remaining(now)).count();
    }

} // namespace

std::vector<HostRecord> enrolledHosts(const RowMirror& mirror)
{
    const auto rows = mirror.changesSince(SharedTable::Hosts, StoreVersion());
    return rows ? decodeHosts(*rows) : std::vector<HostRecord>();
}

StatusPages::StatusPages(const HostRecord& self, const RouteTable& routes, const BackendTable& backends,
    const RowMirror& mirror, const Lease& lease, const CrashRecords& crashes)
    : m_self(self)
    , m_routes(routes)
    , m_backends(backends)
    , m_mirror(mirror)
    , m_lease(lease)
    , m_crashes(crashes)
{
}

std::optional<std::string> StatusPages::page(
    const std::string& path, const ProcessState& process, MonotonicTime now) const
{
    if (path == "/status")
        return status(process, now);
    if (path == "/hosts")
        return hosts();
    if (path == "/servers")
        return servers(now);
    if (path == "/leases")
        return leases(now);
    if (path == "/suspects")
        return suspects(now);
    return std::nullopt;
}

std::string StatusPages::status(const ProcessState& process, MonotonicTime now) const
{
    JsonBuilder json;
    json.text("host", m_self.id.text())
        .text("data_centre", m_self.dataCentre.text())
        .flag("ready", process.ready)
        .flag("reader", process.reader)
        .integer("open_requests", process.openRequests)
        .integer("manifest_version", m_routes.version())
        .text("manifest_from", copyOriginName(m_mirror.origin(SharedTable::Manifest)))
        .integer("routes", static_cast<std::int64_t>(m_routes.manifest()->routes.size()))
        .integer("servers", static_cast<std::int64_t>(m_backends.all().size()))
        .integer("hosts", static_cast<std::int64_t>(enrolledHosts(m_mirror).size()));
    if (process.proofAge)
        json.integer("manifest_proof_age_ms",
            std::chrono::duration_cast<std::chrono::milliseconds>(*process.proofAge).count());
    for (const auto table : sharedTables) {
        if (m_mirror.empty(table))
            continue;
        const std::string word = sharedTableName(table);
        const auto age
            = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_mirror.currentAt(table));
        json.integer((word + "_age_ms").c_str(), age.count())
            .integer((word + "_store_version").c_str(),
                static_cast<std::int64_t>(m_mirror.version(table).version.count()));
    }
    return json.finish();
}

std::string StatusPages::hosts() const
{
    JsonBuilder json;
    json.beginArray("hosts");
    for (const auto& host : enrolledHosts(m_mirror)) {
        json.beginElement()
            .text("id", host.id.text())
            .text("data_centre", host.dataCentre.text())
            .text("address", host.peerAddress.text())
            .text("state", host.id == m_self.id ? "this host" : "enrolled")
            .endObject();
    }
    return json.endArray().finish();
}

std::string StatusPages::servers(MonotonicTime now) const
{
    JsonBuilder json;
    json.beginArray("servers");
    for (const auto& entry : m_backends.all()) {
        const auto& backend = entry.second;
        const auto server = lifetimeOf(backend.record);
        json.beginElement()
            .text("id", entry.first.text())
            .text("service", backend.record.service.text())
            .text("data_centre", backend.record.dataCentre.text())
            .text("address", backend.record.address.text())
            .text("role", backend.record.role ? engineRoleName(*backend.record.role) : "")
            .text("state", stateName(backend, m_backends, now))
            .text("word", noticeSource(backend, m_backends, now))
            .integer("barred_ms", msLeft(m_backends.backoffUntil(entry.first), now))
            .number("limit_per_s", m_backends.limits().limit(server).value_or(RequestRate()).perSecond())
            .number("share_per_s", m_backends.limits().share(server, backend.record.service, now).perSecond())
            .integer("sent_here", m_backends.limits().recentLocalSends(server, now))
            .integer("sent", m_backends.limits().recentSends(server, now))
            .integer("open_here", backend.localLoad.requests)
            .integer("open_elsewhere", backend.remoteLoad.requests)
            .integer("prefill_ms", static_cast<std::int64_t>(backend.load().prefillMs))
            .number("slowness", backend.slowness)
            .number("prefill_factor", backend.factors.prefill)
            .number("decode_factor", backend.factors.decode)
            .endObject();
    }
    return json.endArray().finish();
}

std::string StatusPages::leases(MonotonicTime now) const
{
    JsonBuilder json;
    json.beginArray("leases");
    if (const auto& row = m_lease.lastSeen()) {
        json.beginElement()
            .text("lease", roleLeaseKey)
            .text("holder", row->released ? "" : row->holder.text())
            .integer("fencing", static_cast<std::int64_t>(row->fencing.count()))
            .flag("held_here", m_lease.holds(now))
            .flag("may_order", m_lease.mayIssueOrders(now))
            .endObject();
    }
    return json.endArray().finish();
}

std::string StatusPages::suspects(MonotonicTime now) const
{
    JsonBuilder json;
    json.beginArray("suspects");
    for (const auto& subject : m_crashes.subjects()) {
        const auto ends = m_crashes.countedEnds(subject);
        if (ends.empty())
            continue;
        const auto suspicion = m_crashes.suspicion(subject, now);
        const bool refused = suspicion == Suspicion::Refuse;
        json.beginElement()
            .text("id", subjectName(subject))
            .text("kind", subject.isPart ? "part" : "content")
            .text("state", suspicionName(suspicion))
            .text("servers", serversText(ends))
            .integer("consecutive", m_crashes.consecutiveEnds(subject))
            .integer(
                "age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - lastEnd(ends)).count())
            .integer("refused_ms", refused ? msLeft(m_crashes.refusedUntil(subject), now) : 0)
            .endObject();
    }
    return json.endArray().finish();
}

} // namespace almondscale
