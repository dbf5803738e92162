#include "ManifestAdoption.h"

#include "Core/LogEvent.h"
#include "Core/TextHash.h"
#include "Serving/ManifestCheck.h"
#include "platform/ManifestCodec.h"
#include "platform/StoreClient.h"

#include <algorithm>
#include <utility>

namespace almondscale {

namespace {

    ManifestIdentity identify(const Manifest& manifest, const std::string& text)
    {
        return { manifest.version, addToTextHash(emptyTextHash, text) };
    }

    // The last row of the manifest; null if there is none.
    const StoredRow* newestManifestRow(const StoredRows& rows)
    {
        const auto row = std::find_if(rows.rows.rbegin(), rows.rows.rend(), platform::isManifestRow);
        return row == rows.rows.rend() ? nullptr : &*row;
    }

} // namespace

ManifestAdoption::ManifestAdoption(RouteTable& routes, ManifestFreshness& freshness,
    std::set<DataCentre> known, Deadline waitUntil, Hooks hooks)
    : m_routes(routes)
    , m_freshness(freshness)
    , m_known(std::move(known))
    , m_waitUntil(waitUntil)
    , m_hooks(std::move(hooks))
{
}

bool ManifestAdoption::waits(MonotonicTime now) const
{
    return m_waitUntil && !m_waitUntil->passed(now) && !m_hooks.hasHeardHost();
}

bool ManifestAdoption::poll(MonotonicTime now)
{
    if (waits(now))
        return false;
    if (std::exchange(m_waitUntil, std::nullopt)) {
        if (const auto rows = m_hooks.copy())
            applyRows(*rows);
    }
    return true;
}

void ManifestAdoption::onRows(const StoredRows& rows, MonotonicTime now)
{
    if (m_waitUntil)
        poll(now);
    else
        applyRows(rows);
}

bool ManifestAdoption::onManifest(const std::string& text)
{
    auto manifest = platform::decodeManifest(text);
    if (!manifest || manifest->version <= m_routes.version())
        return false;
    const auto version = manifest->version;
    adopt(std::move(*manifest), text, true);
    m_copyInForce = m_copySound && m_copied == m_inForce;
    m_freshness.onCopy(m_copy, m_inForce, m_copyInForce);
    return m_routes.version() == version;
}

void ManifestAdoption::applyRows(const StoredRows& rows)
{
    m_copy = rows.newest;
    auto reading = platform::decodeManifestRows(rows);
    if (reading.unreadable) {
        LogEvent("manifest_unreadable", LogLevel::Warning)
            .with("store_version", *reading.unreadable)
            .with("in_force", m_routes.version());
    }
    const auto* row = newestManifestRow(rows);
    if (reading.manifest) {
        m_copied = identify(*reading.manifest, reading.text);
        m_copySound = adopt(std::move(*reading.manifest), reading.text, false) && !reading.unreadable
            && !row->removed;
    } else if (rows.whole || row) {
        // The table has other rows too.
        m_copied = {};
        m_copySound = false;
    }
    // The store may have come back with an older manifest, or have got another one of the same version.
    m_copyInForce = m_copySound && m_copied == m_inForce;
    m_freshness.onCopy(rows.newest, m_inForce, m_copyInForce);
}

bool ManifestAdoption::adopt(Manifest manifest, const std::string& text, bool fromHost)
{
    const auto identity = identify(manifest, text);
    const auto errors = checkManifest(manifest, m_known);
    for (const auto& error : errors)
        LogEvent("manifest_rejected", LogLevel::Error)
            .with("version", identity.version)
            .with("error", error)
            .with("in_force", m_routes.version());
    if (!errors.empty() || !m_routes.adopt(std::move(manifest)))
        return errors.empty();
    m_inForce = identity;
    m_text = std::make_shared<const std::string>(text);
    m_hooks.onAdopted(fromHost);
    return true;
}

std::shared_ptr<const std::string> ManifestAdoption::superseding() const
{
    return m_copied.version == m_inForce.version ? nullptr : m_text;
}

} // namespace almondscale
