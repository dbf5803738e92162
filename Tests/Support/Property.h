#pragma once

#include <cstdint>
#include <iostream>
#include <rapidcheck.h>
#include <string>

namespace almondscale::test {

// Checks a RapidCheck property with a fixed seed, which it prints, and tells whether it held.
template <typename Testable>
bool propertyHolds(const std::string& description, std::uint64_t seed, int runs, Testable&& testable)
{
    std::cout << "property=\"" << description << "\" seed=" << seed << " runs=" << runs << '\n';
    rc::detail::TestMetadata metadata;
    metadata.id = description;
    metadata.description = description;
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = runs;
    const auto result = rc::detail::checkTestable(std::forward<Testable>(testable), metadata, params);
    const bool held = result.template is<rc::detail::SuccessResult>();
    if (!held)
        rc::detail::printResultMessage(result, std::cout);
    return held;
}

} // namespace almondscale::test
