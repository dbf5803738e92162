#include "Serving/KeyCheck.h"

#include <catch2/catch.hpp>

using namespace almondscale;

namespace {

class KeyCheckFixture {
public:
    KeyCheckFixture()
    {
        manifest->organisations = std::vector<OrganisationSpec> {
            { Organisation("north"), { KeyDigest::of("n1"), KeyDigest::of("n2") }, Priority(2) },
            { Organisation("south"), { KeyDigest::of("s1") }, std::nullopt }
        };
        organisations.emplace(manifest);
        request.keyDecoded = true;
    }

    ErrorKind check(KeyTrust trust = {}) { return checkKey(request, route, &*organisations, trust); }

    ErrorKind check(const std::string& key, KeyTrust trust = {})
    {
        request.key = KeyDigest::of(key);
        return check(trust);
    }

    std::shared_ptr<Manifest> manifest = std::make_shared<Manifest>();
    std::optional<Organisations> organisations;
    CallerRequest request;
    Route route;
};

constexpr KeyTrust tooOld { false, false };
constexpr KeyTrust oldForDenials { true, false };

} // namespace

TEST_CASE_METHOD(KeyCheckFixture, "Request with a key of the manifest gets its organisation and priority")
{
    CHECK(check("n2") == ErrorKind::None);
    CHECK(request.organisation == Organisation("north"));
    CHECK(request.priority == Priority(2));
    CHECK(check("s1") == ErrorKind::None);
    CHECK(request.organisation == Organisation("south"));
    CHECK_FALSE(request.priority);
}

TEST_CASE_METHOD(
    KeyCheckFixture, "Request with an unknown or malformed key is refused, also where none is needed")
{
    route.allowAnonymous = GENERATE(false, true);
    CHECK(check("n1") == ErrorKind::None);
    CHECK(check("n3") == ErrorKind::Unauthorised);
    CHECK(request.organisation.empty());
    request.key.reset();
    request.keyMalformed = true;
    CHECK(check() == ErrorKind::Unauthorised);
}

TEST_CASE_METHOD(
    KeyCheckFixture, "Request without a key runs only where none is needed, also with an old manifest")
{
    CHECK(check() == ErrorKind::Unauthorised);
    route.allowAnonymous = true;
    CHECK(check() == ErrorKind::None);
    CHECK(check(tooOld) == ErrorKind::None);
    CHECK(request.organisation.empty());
}

// A caller does not repeat a request that got 401, so a host that may lack the key's manifest must not send
// it.
TEST_CASE_METHOD(KeyCheckFixture, "Host with an old manifest calls no key wrong")
{
    CHECK(check("n1", oldForDenials) == ErrorKind::None);
    CHECK(check("n3", oldForDenials) == ErrorKind::ManifestTooOld);
    CHECK(check("n1", tooOld) == ErrorKind::ManifestTooOld);
    CHECK(check("n3", tooOld) == ErrorKind::ManifestTooOld);
}

// Its key is still in its header, which would be sent to a backend server.
TEST_CASE_METHOD(KeyCheckFixture, "Request decoded before callers had keys does not run once they have")
{
    request.keyDecoded = false;
    route.allowAnonymous = true;
    CHECK(check() == ErrorKind::ManifestTooOld);
    CHECK(checkKey(request, route, nullptr, {}) == ErrorKind::None);
}
