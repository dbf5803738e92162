#include "AuthorityModel.h"

#include <catch2/catch.hpp>
#include <iostream>

using almondscale::test::AuthorityFlaw;
using almondscale::test::AuthorityModel;

namespace {

void print(const char* engine, const AuthorityModel& model)
{
    std::cout << "model=authority engine=" << engine << " states=" << model.states()
              << " successor_orders=" << model.successorOrders() << " late_orders=" << model.lateOrders()
              << " breach=" << (model.violation().empty() ? "none" : "found") << '\n';
}

} // namespace

TEST_CASE("Authority, every interleaving with an engine that checks fencing, violates no invariant")
{
    AuthorityModel::Options options;
    options.engineChecksFencing = true;
    AuthorityModel model(options);
    const bool held = model.search();
    print("checks", model);
    CAPTURE(model.violation());
    CHECK(held);
    CHECK(model.successorOrders() > 0);
}

TEST_CASE("Authority, every interleaving with an engine that ignores fencing, violates no invariant")
{
    AuthorityModel model(AuthorityModel::Options {});
    const bool held = model.search();
    print("ignores", model);
    CAPTURE(model.violation());
    CHECK(held);
    CHECK(model.successorOrders() > 0);
    CHECK(model.lateOrders() > 0);
}

TEST_CASE("Authority, every interleaving with one lost table answer or late write, violates no invariant")
{
    AuthorityModel::Options options;
    options.faults = 1;
    AuthorityModel model(options);
    const bool held = model.search();
    print("ignores, one fault", model);
    CAPTURE(model.violation());
    CHECK(held);
    CHECK(model.successorOrders() > 0);
}

TEST_CASE("Authority, protocol with a deliberate error, is detected by the search")
{
    AuthorityModel::Options options;
    options.engineChecksFencing = GENERATE(false, true);
    options.flaw = GENERATE(AuthorityFlaw::NoMargin, AuthorityFlaw::NoSuccessorWait,
        AuthorityFlaw::CountsFromAnswer, AuthorityFlaw::HeadNotAwaited);
    AuthorityModel model(options);
    const bool held = model.search();
    print(options.engineChecksFencing ? "checks" : "ignores", model);
    CHECK_FALSE(held);
}
