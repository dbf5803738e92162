#include "Serving/CrashRecord.h"

#include "Http/Json.h"
#include "Http/JsonBuilder.h"
#include "Serving/RequestContent.h"

#include <algorithm>
#include <sstream>

namespace almondscale {

namespace {

    using std::chrono::milliseconds;

    // Ages and steps in rows are limited, since another writer may have put any number there.
    constexpr std::int64_t maxAgeMs = std::chrono::milliseconds(std::chrono::hours(24)).count();
    constexpr std::int64_t maxStep = 1 << 15;

    std::int64_t ageMember(const JsonValue& object, const char* member)
    {
        return std::clamp<std::int64_t>(jsonInteger(object, member), 0, maxAgeMs);
    }

    std::int64_t msAgo(MonotonicTime at, MonotonicTime now)
    {
        return std::chrono::duration_cast<milliseconds>(now - at).count();
    }

    std::string joinContents(const std::vector<Fingerprint>& contents)
    {
        std::string text;
        for (const auto content : contents)
            text += (text.empty() ? "" : ",") + contentText(content);
        return text;
    }

    std::vector<Fingerprint> splitContents(const std::string& text)
    {
        std::vector<Fingerprint> contents;
        std::istringstream stream(text);
        for (std::string each; std::getline(stream, each, ',');) {
            if (const auto content = parseContent(each))
                contents.push_back(*content);
        }
        return contents;
    }

} // namespace

std::string encodeCrashRecord(const CrashRecord& record, MonotonicTime now, std::int64_t wallMs)
{
    JsonBuilder json;
    json.text("content", subjectText(record.subject)).integer("written_ms", wallMs);
    if (record.answeredAt)
        json.integer("answered_ms_ago", msAgo(*record.answeredAt, now));
    json.beginArray("ends");
    for (const auto& end : record.ends) {
        json.beginElement()
            .text("server", end.server.backend.text())
            .integer("started_ms", end.server.startedAtMs)
            .integer("sent_ms_ago", msAgo(end.sentAt, now))
            .integer("ended_ms_ago", msAgo(end.endedAt, now))
            .integer("evidence", static_cast<int>(end.evidence))
            .integer("step", end.step)
            .flag("prefill", end.prefill)
            .flag("apart", end.apart)
            .flag("withdrawn", end.withdrawn)
            .text("contents", joinContents(end.contents))
            .endObject();
    }
    return json.endArray().finish();
}

std::optional<CrashRecord> decodeCrashRecord(const std::string& text, MonotonicTime now, std::int64_t wallMs)
{
    const auto json = parseJson(text);
    const auto subject = json ? parseSubject(jsonString(*json, "content")) : std::nullopt;
    const auto* ends = json ? jsonMember(*json, "ends") : nullptr;
    if (!subject || !ends || !ends->IsArray())
        return std::nullopt;
    const auto writtenMs = std::clamp<std::int64_t>(jsonInteger(*json, "written_ms"), 0, wallMs);
    // Wall clocks of hosts may differ; a record from the future counts as new.
    const auto age = std::clamp<std::int64_t>(wallMs - writtenMs, 0, maxAgeMs);
    CrashRecord record { *subject, {}, std::nullopt };
    if (jsonMember(*json, "answered_ms_ago"))
        record.answeredAt = now - milliseconds(age + ageMember(*json, "answered_ms_ago"));
    for (const auto& entry : ends->GetArray()) {
        ServerEnd end;
        end.server.backend = BackendId(jsonString(entry, "server"));
        end.server.startedAtMs = jsonInteger(entry, "started_ms");
        end.sentAt = now - milliseconds(age + ageMember(entry, "sent_ms_ago"));
        end.endedAt = now - milliseconds(age + ageMember(entry, "ended_ms_ago"));
        end.evidence
            = static_cast<EndEvidence>(std::clamp<std::int64_t>(jsonInteger(entry, "evidence"), 0, 2));
        end.prefill = jsonFlag(entry, "prefill");
        end.step = static_cast<int>(std::clamp<std::int64_t>(jsonInteger(entry, "step"), 0, maxStep));
        end.apart = jsonFlag(entry, "apart");
        end.withdrawn = jsonFlag(entry, "withdrawn");
        end.contents = splitContents(jsonString(entry, "contents"));
        if (end.server.backend.empty())
            return std::nullopt;
        record.ends.push_back(std::move(end));
    }
    return record;
}

MonotonicTime lastEnd(const std::vector<ServerEnd>& ends)
{
    MonotonicTime last {};
    for (const auto& end : ends)
        last = std::max(last, end.endedAt);
    return last;
}

std::string serversText(const std::vector<ServerEnd>& ends)
{
    std::string text;
    for (const auto& end : ends)
        text += (text.empty() ? "" : ",") + end.server.backend.text();
    return text;
}

} // namespace almondscale
