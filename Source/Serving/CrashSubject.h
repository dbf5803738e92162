#pragma once

#include "Dispatch/Fingerprint.h"
#include "Serving/PromptPart.h"

#include <optional>
#include <string>
#include <tuple>

namespace almondscale {

// What the crash of a server may be due to: the whole content of a request, or one part of its prompt.
struct CrashSubject {
    CrashSubject() = default;
    CrashSubject(Fingerprint content)
        : id(content)
    {
    }
    CrashSubject(PromptPartId part)
        : id(part.count())
        , isPart(true)
    {
    }

    Fingerprint id;
    bool isPart = false;

    friend bool operator==(const CrashSubject& a, const CrashSubject& b)
    {
        return a.id == b.id && a.isPart == b.isPart;
    }
    friend bool operator!=(const CrashSubject& a, const CrashSubject& b) { return !(a == b); }
    friend bool operator<(const CrashSubject& a, const CrashSubject& b)
    {
        return std::tie(a.isPart, a.id) < std::tie(b.isPart, b.id);
    }
};

// The name of the content or part, as in logs and status pages.
std::string subjectName(const CrashSubject&);
// The text form used in rows of the store, which tells contents from parts.
std::string subjectText(const CrashSubject&);
std::optional<CrashSubject> parseSubject(const std::string&);

} // namespace almondscale

template <> struct std::hash<almondscale::CrashSubject> {
    std::size_t operator()(const almondscale::CrashSubject& subject) const noexcept
    {
        // The ids are hashes themselves.
        return static_cast<std::size_t>(subject.id.count() ^ (subject.isPart ? 1U : 0U));
    }
};
