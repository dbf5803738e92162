#include "Serving/Organisations.h"

#include <algorithm>
#include <utility>

namespace almondscale {

Organisations::Organisations(std::shared_ptr<const Manifest> manifest)
    : m_manifest(std::move(manifest))
{
    const auto& organisations = *m_manifest->organisations;
    std::size_t count = 0;
    for (const auto& organisation : organisations)
        count += organisation.keys.size();
    m_entries.reserve(count);
    for (std::uint32_t i = 0; i < organisations.size(); ++i) {
        for (std::uint32_t key = 0; key < organisations[i].keys.size(); ++key)
            m_entries.push_back({ organisations[i].keys[key].hash(), i, key });
    }
    std::sort(
        m_entries.begin(), m_entries.end(), [](const Entry& a, const Entry& b) { return a.hash < b.hash; });
}

const OrganisationSpec* Organisations::find(const KeyDigest& key) const
{
    const auto hash = key.hash();
    auto entry = std::lower_bound(m_entries.begin(), m_entries.end(), hash,
        [](const Entry& each, std::size_t wanted) { return each.hash < wanted; });
    for (; entry != m_entries.end() && entry->hash == hash; ++entry) {
        const auto& found = organisation(*entry);
        if (found.keys[entry->key] == key)
            return &found;
    }
    return nullptr;
}

const OrganisationSpec& Organisations::organisation(const Entry& entry) const
{
    return (*m_manifest->organisations)[entry.organisation];
}

} // namespace almondscale
