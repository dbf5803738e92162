#pragma once

#include "Core/Deadline.h"
#include "Serving/ManifestFreshness.h"
#include "Serving/RouteTable.h"
#include "Serving/StoredRow.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace almondscale {

// Brings manifests into force: those of this host's copy of the table, and those that other hosts have in
// force although the store came back from an older copy. A host that was restarted waits for the latter
// before it adopts the copy's, which may be older.
class ManifestAdoption {
public:
    struct Hooks {
        // All rows of this host's copy; unset if there is none.
        std::function<std::optional<StoredRows>()> copy;
        // Whether another host has sent a frame, which would have had its manifest.
        std::function<bool()> hasHeardHost;
        // A manifest came into force; `fromHost` is set if another host sent it.
        std::function<void(bool fromHost)> onAdopted;
    };

    // `waitUntil`: the time until which other hosts are waited for; passed if the system starts for the first
    // time.
    ManifestAdoption(RouteTable&, ManifestFreshness&, std::set<DataCentre> known, Deadline waitUntil, Hooks);

    // Takes changed rows of the copy.
    void onRows(const StoredRows&, MonotonicTime now);
    // Takes the text of the manifest that another host has in force; returns whether it is newer.
    bool onManifest(const std::string& text);
    // Adopts the copy's manifest once other hosts need not be waited for any more; returns whether it did.
    bool poll(MonotonicTime now);

    // The text of the manifest in force if the copy's is older; null otherwise.
    std::shared_ptr<const std::string> superseding() const;
    // Whether the manifest in force is that of the copy.
    bool copyInForce() const { return m_copyInForce; }

private:
    bool waits(MonotonicTime now) const;
    void applyRows(const StoredRows&);
    // Returns whether the manifest has no errors.
    bool adopt(Manifest, const std::string& text, bool fromHost);

    RouteTable& m_routes;
    ManifestFreshness& m_freshness;
    std::set<DataCentre> m_known;
    // Unset once the copy is followed.
    std::optional<Deadline> m_waitUntil;
    Hooks m_hooks;
    ManifestIdentity m_inForce;
    std::shared_ptr<const std::string> m_text;
    ManifestIdentity m_copied;
    StoreVersion m_copy;
    bool m_copySound = false;
    bool m_copyInForce = false;
};

} // namespace almondscale
