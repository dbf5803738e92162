#include "Serving/CrashSubject.h"

#include "Serving/RequestContent.h"

namespace almondscale {

namespace {

    constexpr const char* partPrefix = "part/";

} // namespace

std::string subjectName(const CrashSubject& subject)
{
    return subject.isPart ? partText(PromptPartId(subject.id.count())) : contentText(subject.id);
}

std::string subjectText(const CrashSubject& subject)
{
    return (subject.isPart ? partPrefix : "") + subjectName(subject);
}

std::optional<CrashSubject> parseSubject(const std::string& text)
{
    const bool isPart = text.rfind(partPrefix, 0) == 0;
    const auto id = parseContent(isPart ? text.substr(std::char_traits<char>::length(partPrefix)) : text);
    if (!id)
        return std::nullopt;
    return isPart ? CrashSubject(PromptPartId(id->count())) : CrashSubject(*id);
}

} // namespace almondscale
