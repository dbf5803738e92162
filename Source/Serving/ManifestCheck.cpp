#include "Serving/ManifestCheck.h"

#include <cmath>
#include <unordered_map>

namespace almondscale {

namespace {

    using Errors = std::vector<std::string>;

    void checkOrganisations(const std::vector<OrganisationSpec>& organisations, Errors& errors)
    {
        const auto emptyKey = KeyDigest::of("");
        std::set<Organisation> names;
        std::unordered_map<KeyDigest, const OrganisationSpec*> owners;
        for (const auto& organisation : organisations) {
            const auto name = "organisation \"" + organisation.name.text() + "\"";
            if (organisation.name.empty())
                errors.push_back("an organisation has no name; give it one");
            if (!names.insert(organisation.name).second)
                errors.push_back(name + " is listed twice; merge the entries");
            for (const auto& key : organisation.keys) {
                if (key == emptyKey)
                    errors.push_back(name + " has an empty key; remove it");
                const auto* owner = owners.emplace(key, &organisation).first->second;
                if (owner != &organisation)
                    errors.push_back(name + " has a key of organisation \"" + owner->name.text()
                        + "\"; give each organisation its own keys");
            }
        }
    }

    bool isPrice(double price) { return std::isfinite(price) && price > 0; }

    void checkPool(
        const ServiceName& service, const PoolSpec& pool, const std::set<DataCentre>& known, Errors& errors)
    {
        const auto name = "pool of service \"" + service.text() + "\"";
        if (pool.min < 0 || pool.max < pool.min)
            errors.push_back(name + ": min is " + std::to_string(pool.min) + " and max is "
                + std::to_string(pool.max) + "; use 0 <= min <= max");
        if (pool.spotPrice && !isPrice(*pool.spotPrice))
            errors.push_back(name + ": the spot price is not above 0; use a share such as 0.3");
        for (const auto& [dataCentre, price] : pool.prices) {
            if (!isPrice(price))
                errors.push_back(name + ": the price in \"" + dataCentre.text()
                    + "\" is not above 0; use a price such as 1.0");
            if (!known.empty() && known.count(dataCentre) == 0)
                errors.push_back(name + ": there is no data centre \"" + dataCentre.text()
                    + "\"; remove its price or correct the name");
        }
    }

} // namespace

std::vector<std::string> checkManifest(const Manifest& manifest, const std::set<DataCentre>& known)
{
    Errors errors;
    if (manifest.organisations)
        checkOrganisations(*manifest.organisations, errors);
    for (const auto& [name, service] : manifest.services) {
        if (service.pool)
            checkPool(name, *service.pool, known, errors);
    }
    return errors;
}

} // namespace almondscale
