#pragma once

#include "Core/Address.h"
#include "Core/MonotonicTime.h"
#include "StandIns/OptionTable.h"

#include <cstdint>
#include <optional>
#include <string>

namespace almondscale::standin {

std::optional<std::int64_t> parseCount(const std::string&);

// Setters for the option kinds that the stand-ins share.
OptionTable::Setter setAddress(Address&);
OptionTable::Setter setMilliseconds(Nanoseconds&);
OptionTable::Setter setRate(double&);

} // namespace almondscale::standin
