#include "Load/BookingAudit.h"

namespace almondscale {

void BookingAudit::onOutcome(const BookingKey& key, const CallOutcome& outcome)
{
    Told& told = m_told[key.text()];
    if (outcome.kind == CallOutcome::Kind::Complete)
        told.ran = true;
    else if (outcome.run != "no")
        told.unknown = true;
}

BookingAudit::Verdict BookingAudit::judge(const std::map<std::string, std::int64_t>& runs) const
{
    Verdict verdict;
    for (const auto& [key, told] : m_told) {
        const auto found = runs.find(key);
        const std::int64_t count = found == runs.end() ? 0 : found->second;
        ++verdict.sent;
        verdict.run += count > 0 ? 1 : 0;
        if (count > 1) {
            ++verdict.doubled;
            verdict.faults.push_back(key + " ran " + std::to_string(count) + " times");
        }
        if (told.ran && count == 0) {
            ++verdict.lost;
            verdict.faults.push_back(key + " was answered and did not run");
        }
        if (!told.ran && !told.unknown && count > 0) {
            ++verdict.untrue;
            verdict.faults.push_back(key + " was refused with run=no and ran");
        }
    }
    return verdict;
}

} // namespace almondscale
