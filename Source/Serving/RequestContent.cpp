#include "Serving/RequestContent.h"

#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>

namespace almondscale {

Fingerprint contentOf(const CallerRequest& request)
{
    return fingerprintOf({ request.host, request.head.method, request.head.target, request.body });
}

std::string contentText(Fingerprint content)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, content.count());
    return text.data();
}

std::optional<Fingerprint> parseContent(const std::string& text)
{
    std::uint64_t number = 0;
    const auto* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, number, 16);
    if (read.ec != std::errc() || read.ptr != end)
        return std::nullopt;
    return Fingerprint(number);
}

} // namespace almondscale
