#pragma once

#include "Core/AttemptId.h"
#include "StandIns/AttemptProgress.h"

#include <cstdint>
#include <string>

namespace almondscale::standin {

// Writes the lines of an attempt's stream.
class TokenLines {
public:
    explicit TokenLines(const AttemptId&);

    std::string token(std::int64_t index, const std::string& token) const;
    // The line that ends the stream of a finished attempt.
    std::string done(const AttemptProgress&) const;

private:
    // Each line begins with the attempt.
    std::string m_begin;
};

} // namespace almondscale::standin
