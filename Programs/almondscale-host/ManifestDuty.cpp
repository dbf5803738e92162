#include "ManifestDuty.h"

#include "Core/LogEvent.h"
#include "Forwarding/Signal.h"

namespace almondscale {

namespace {

    // A silent connection is noticed this much later; a manifest has to be in force
    // within two seconds.
    constexpr Nanoseconds longestWait = std::chrono::milliseconds(1500);
    // Pause after a reading that failed or found no manifest.
    constexpr Nanoseconds retryPause = std::chrono::milliseconds(250);

} // namespace

ManifestDuty::ManifestDuty(platform::StoreClient& store, RouteTable& routes)
    : m_store(store)
    , m_routes(routes)
{
}

awaitable<void> ManifestDuty::run()
{
    for (;;) {
        const bool read = co_await readOnce();
        if (!read)
            co_await sleepFor(retryPause);
    }
}

awaitable<bool> ManifestDuty::readOnce()
{
    const bool whole = m_after == RowVersion(0);
    Result<platform::ManifestReading> reading = ErrorKind::PlatformUnavailable;
    if (whole)
        reading = co_await m_store.readManifest();
    else
        reading = co_await m_store.nextManifest(m_after, longestWait);
    if (!reading) {
        if (m_reachable)
            LogEvent("store_lost", LogLevel::Warning)
                .with("reading", "manifest")
                .with("error", reading.error().message());
        m_reachable = false;
        co_return false;
    }
    if (!m_reachable)
        LogEvent("store_regained").with("reading", "manifest");
    m_reachable = true;
    if (reading.value().historyGone) {
        m_after = RowVersion(0);
        co_return true;
    }
    adopt(reading.value());
    co_return !whole || reading.value().manifest.has_value();
}

void ManifestDuty::adopt(const platform::ManifestReading& reading)
{
    if (reading.manifest && m_routes.adopt(*reading.manifest)) {
        LogEvent("manifest_in_force")
            .with("version", m_routes.version())
            .with("routes", m_routes.manifest()->routes.size())
            .with("store_version", reading.version);
    }
    // A reading may be older than the one before it.
    if (!m_routes.empty() && m_after < reading.version)
        m_after = reading.version;
}

} // namespace almondscale
