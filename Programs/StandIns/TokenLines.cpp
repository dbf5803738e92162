#include "StandIns/TokenLines.h"

#include "Http/JsonBuilder.h"

namespace almondscale::standin {

TokenLines::TokenLines(const AttemptId& attempt)
{
    JsonBuilder json;
    json.text("attempt", attempt.text());
    m_begin = json.finish();
    m_begin.back() = ',';
}

std::string TokenLines::token(std::int64_t index, const std::string& token) const
{
    std::string line = m_begin;
    line.append("\"index\":").append(std::to_string(index));
    line.append(",\"token\":\"").append(token).append("\"}\n");
    return line;
}

std::string TokenLines::done(const AttemptProgress& progress) const
{
    std::string line = m_begin;
    if (progress.phase != AttemptPhase::Prefill)
        return line.append("\"done\":true,\"tokens\":").append(std::to_string(progress.made.count())) + "}\n";
    line.append("\"kv\":\"").append(progress.kvHandle);
    line.append("\",\"bytes\":").append(std::to_string(progress.kvBytes));
    return line.append(",\"done\":true}\n");
}

} // namespace almondscale::standin
