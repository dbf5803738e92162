#include "ToolOptions.h"

#include <catch2/catch.hpp>
#include <getopt.h>

#include <vector>

using namespace almondscale;

namespace {

ToolOptions parse(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), "almondscale");
    std::vector<char*> raw;
    raw.reserve(arguments.size() + 1);
    for (auto& argument : arguments)
        raw.push_back(argument.data());
    raw.push_back(nullptr);
    // 0 makes getopt_long start over.
    optind = 0;
    return parseToolOptions(static_cast<int>(arguments.size()), raw.data());
}

} // namespace

TEST_CASE("Tool options, store and words in any order, are read")
{
    const auto options = parse({ "store", "--json", "manifest", "--store", "10.0.0.1:7000" });
    CHECK(options.error.empty());
    CHECK(options.json);
    CHECK(options.store == Address { "10.0.0.1", 7000 });
    CHECK(options.words == std::vector<std::string> { "store", "manifest" });
}

TEST_CASE("Tool options, address without a port, names the option and what to give")
{
    CHECK(parse({ "--store", "10.0.0.1" }).error
        == "--store '10.0.0.1' is wrong; give IP:PORT of the platform's store");
    CHECK(parse({ "--host", "somewhere:1" }).error
        == "--host 'somewhere:1' is wrong; give IP:PORT of a host's operators' port");
}
