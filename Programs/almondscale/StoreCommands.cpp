#include "StoreCommands.h"

#include "Http/Json.h"
#include "Http/JsonBuilder.h"
#include "StoreView.h"
#include "TextTable.h"

#include <iostream>

namespace almondscale {

namespace {

    ExitStatus reportStoreFailure(const ToolOptions& options, const std::error_code& error)
    {
        std::cerr << "the store at " << options.store.text() << " gave no answer: " << error.message()
                  << " Check --store, or try again when it is back.\n";
        return ExitStatus::Unreachable;
    }

    void addHost(JsonBuilder& json, const HostRecord& host, const std::optional<std::string>& page)
    {
        json.beginElement().text("id", host.id.text()).text("data_centre", host.dataCentre.text());
        if (const auto status = page ? parseJson(*page) : std::nullopt) {
            json.integer("manifest_version", jsonInteger(*status, "manifest_version"))
                .flag("reader", jsonFlag(*status, "reader"))
                .text("state", jsonFlag(*status, "ready") ? "ready" : "not ready");
        } else {
            json.text("state", "does not answer");
        }
        json.endObject();
    }

} // namespace

ExitStatus showStoredManifest(const ToolOptions& options, const HostConnection&)
{
    StoreView store(options.store);
    const auto manifestRows = store.read(SharedTable::Manifest);
    if (!manifestRows)
        return reportStoreFailure(options, manifestRows.error());
    const auto hostRows = store.read(SharedTable::Hosts);
    if (!hostRows)
        return reportStoreFailure(options, hostRows.error());
    const auto reading = platform::decodeManifestRows(manifestRows.value());
    if (!reading.manifest) {
        std::cerr << "the store holds no manifest that can be read; "
                  << (reading.unreadable ? "write it again\n" : "write one\n");
        return ExitStatus::Refused;
    }
    const auto hosts = decodeHosts(hostRows.value());
    const auto pages = store.askHosts(hosts);
    JsonBuilder json;
    json.integer("manifest_version", reading.manifest->version)
        .integer("store_era", static_cast<std::int64_t>(manifestRows.value().newest.era.count()))
        .integer("store_version", static_cast<std::int64_t>(manifestRows.value().newest.version.count()))
        .integer("routes", static_cast<std::int64_t>(reading.manifest->routes.size()))
        .integer("services", static_cast<std::int64_t>(reading.manifest->services.size()))
        .beginArray("hosts");
    for (std::size_t i = 0; i < hosts.size(); ++i)
        addHost(json, hosts[i], pages[i]);
    if (!options.json)
        std::cout << "manifest version " << reading.manifest->version << ", "
                  << reading.manifest->routes.size() << " routes\n";
    printRows(json.endArray().finish(), "hosts",
        { { "HOST", "id" }, { "DATA CENTRE", "data_centre" }, { "MANIFEST", "manifest_version" },
            { "READER", "reader" }, { "STATE", "state" } },
        options.json);
    return ExitStatus::Success;
}

ExitStatus showStoredServers(const ToolOptions& options, const HostConnection&)
{
    const auto rows = StoreView(options.store).read(SharedTable::Backends);
    if (!rows)
        return reportStoreFailure(options, rows.error());
    JsonBuilder json;
    json.beginArray("servers");
    for (const auto& change : platform::decodeRegistrationRows(rows.value())) {
        json.beginElement().text("id", change.id.text());
        if (const auto& record = change.record) {
            json.text("service", record->service.text())
                .text("data_centre", record->dataCentre.text())
                .text("address", record->address.text())
                .text("role", record->role ? engineRoleName(*record->role) : "")
                .integer("slots", record->slots)
                .text("state", record->draining ? "draining" : "ready");
        } else {
            json.text("state", "unreadable");
        }
        json.endObject();
    }
    printRows(json.endArray().finish(), "servers",
        { { "SERVER", "id" }, { "SERVICE", "service" }, { "DATA CENTRE", "data_centre" },
            { "ADDRESS", "address" }, { "ROLE", "role" }, { "SLOTS", "slots" }, { "STATE", "state" } },
        options.json);
    return ExitStatus::Success;
}

ExitStatus showStoredLeases(const ToolOptions& options, const HostConnection&)
{
    const auto lease = StoreView(options.store).roleLease();
    if (!lease && lease.kind() == ErrorKind::FrameInvalid) {
        std::cerr << "the row " << roleLeaseKey
                  << " cannot be read; remove it, and a host takes the lease anew\n";
        return ExitStatus::Refused;
    }
    if (!lease)
        return reportStoreFailure(options, lease.error());
    JsonBuilder json;
    json.beginArray("leases");
    if (const auto& row = lease.value()) {
        json.beginElement()
            .text("lease", roleLeaseKey)
            .text("holder", row->released ? "" : row->holder.text())
            .integer("fencing", static_cast<std::int64_t>(row->fencing.count()))
            .integer(
                "duration_ms", std::chrono::duration_cast<std::chrono::milliseconds>(row->duration).count())
            .endObject();
    }
    printRows(json.endArray().finish(), "leases",
        { { "LEASE", "lease" }, { "HOLDER", "holder" }, { "FENCING", "fencing" },
            { "DURATION MS", "duration_ms" } },
        options.json);
    return ExitStatus::Success;
}

ExitStatus showEngineOrders(const ToolOptions& options, const HostConnection&)
{
    StoreView store(options.store);
    const auto rows = store.read(SharedTable::Backends);
    if (!rows)
        return reportStoreFailure(options, rows.error());
    std::vector<BackendRecord> engines;
    for (const auto& change : platform::decodeRegistrationRows(rows.value())) {
        if (change.record && change.record->role)
            engines.push_back(*change.record);
    }
    const auto reports = store.askEngines(engines);
    JsonBuilder json;
    json.beginArray("engines");
    for (std::size_t i = 0; i < engines.size(); ++i) {
        const auto& engine = engines[i];
        const auto& report = reports[i];
        json.beginElement()
            .text("id", engine.id.text())
            .text("service", engine.service.text())
            .text("registered_role", engineRoleName(*engine.role));
        if (report) {
            json.text("role", engineRoleName(report->role))
                .integer("accepted_orders", static_cast<std::int64_t>(report->accepted.count()))
                .text("state", report->changing ? "changing" : "settled");
        } else {
            json.text("state", "does not answer");
        }
        json.endObject();
    }
    printRows(json.endArray().finish(), "engines",
        { { "ENGINE", "id" }, { "SERVICE", "service" }, { "REGISTERED ROLE", "registered_role" },
            { "ROLE", "role" }, { "ACCEPTED ORDERS", "accepted_orders" }, { "STATE", "state" } },
        options.json);
    return ExitStatus::Success;
}

} // namespace almondscale
