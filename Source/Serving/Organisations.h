#pragma once

#include "Serving/Manifest.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace almondscale {

// Finds the organisations of a manifest by the keys of their callers.
class Organisations {
public:
    // The manifest has organisations.
    explicit Organisations(std::shared_ptr<const Manifest>);

    // The organisation that has the key, or null.
    const OrganisationSpec* find(const KeyDigest&) const;

private:
    // A key, by its position in the manifest: with thousands of organisations, copies of the digests would
    // take several times as much memory.
    struct Entry {
        std::size_t hash;
        std::uint32_t organisation;
        std::uint32_t key;
    };

    const OrganisationSpec& organisation(const Entry&) const;

    std::shared_ptr<const Manifest> m_manifest;
    // Sorted by hash.
    std::vector<Entry> m_entries;
};

} // namespace almondscale
