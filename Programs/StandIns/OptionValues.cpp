#include "StandIns/OptionValues.h"

#include <cxxtools/convert.h>

#include <exception>

namespace almondscale::standin {

std::optional<std::int64_t> parseCount(const std::string& text)
{
    try {
        const auto value = cxxtools::convert<std::int64_t>(text);
        if (value < 0)
            return std::nullopt;
        return value;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

OptionTable::Setter setAddress(Address& target)
{
    return [&target](const std::string& text) {
        const bool anyPort = text.size() > 2 && text.compare(text.size() - 2, 2, ":0") == 0;
        // Any valid port does for the check of the IP number.
        std::optional<Address> address = parseAddress(anyPort ? text.substr(0, text.size() - 1) + "1" : text);
        if (!address)
            return false;
        if (anyPort)
            address->port = 0;
        target = *address;
        return true;
    };
}

OptionTable::Setter setMilliseconds(Nanoseconds& target)
{
    return [&target](const std::string& text) {
        const std::optional<std::int64_t> count = parseCount(text);
        if (count)
            target = std::chrono::milliseconds(*count);
        return count.has_value();
    };
}

OptionTable::Setter setRate(double& target)
{
    return [&target](const std::string& text) {
        const std::optional<std::int64_t> count = parseCount(text);
        if (!count || *count == 0)
            return false;
        target = static_cast<double>(*count);
        return true;
    };
}

} // namespace almondscale::standin
