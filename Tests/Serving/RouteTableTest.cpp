#include "Serving/RouteTable.h"

#include <catch2/catch.hpp>

using namespace almondscale;

namespace {

Route route(const std::string& prefix, const std::string& service)
{
    Route made;
    made.host = "Shop.example";
    made.pathPrefix = prefix;
    made.shares = { { ServiceName(service), 1 } };
    return made;
}

class RouteTableFixture {
public:
    RouteTableFixture()
    {
        Manifest manifest;
        manifest.version = 7;
        manifest.routes = { route("/a/", "outer"), route("/a/b/", "inner") };
        table.adopt(manifest);
    }

    std::string serviceFor(const std::string& host, const std::string& target) const
    {
        const auto found = table.find(host, target);
        return found ? found->shares.front().service.text() : "none";
    }

    RouteTable table;
};

} // namespace

TEST_CASE_METHOD(RouteTableFixture, "Route table, asked for a path, takes the longest prefix")
{
    CHECK(serviceFor("shop.example", "/a/b/c") == "inner");
    CHECK(serviceFor("shop.example", "/a/c?x=/a/b/") == "outer");
    CHECK(serviceFor("shop.example", "/a/b") == "outer");
    CHECK(serviceFor("shop.example", "/b/") == "none");
    CHECK(serviceFor("other.example", "/a/b/c") == "none");
}

TEST_CASE_METHOD(RouteTableFixture, "Route table, asked with a port or an absolute target, finds the route")
{
    CHECK(serviceFor("SHOP.example:8080", "/a/b/c") == "inner");
    CHECK(serviceFor("shop.example", "http://shop.example/a/b/c") == "inner");
}

TEST_CASE_METHOD(RouteTableFixture, "Route table, given an older manifest, keeps the newer one")
{
    Manifest older;
    older.version = 6;
    CHECK_FALSE(table.adopt(older));
    CHECK(serviceFor("shop.example", "/a/x") == "outer");
    older.version = 8;
    CHECK(table.adopt(older));
    CHECK(serviceFor("shop.example", "/a/x") == "none");
}

TEST_CASE("Service of a split route, drawn for many requests, follows the weights")
{
    Route split;
    split.shares = { { ServiceName("most"), 90 }, { ServiceName("few"), 10 } };
    int few = 0;
    for (std::uint64_t draw = 0; draw < 1000; ++draw)
        few += drawService(split, draw).text() == "few" ? 1 : 0;
    CHECK(few == 100);
    CHECK(drawService(split, 42) == drawService(split, 42));
}
