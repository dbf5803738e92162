#include "Rules/RulesParser.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>

using namespace almondscale;

// Any text is either read or refused with errors that name one of its lines.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    const auto lines = 1 + std::count(text.begin(), text.end(), '\n');
    const auto parsed = parseRules(text);
    for (const auto& error : parsed.errors) {
        if (error.line < 0 || error.line > lines)
            std::abort();
    }
    // What was accepted is accepted again, as another host reads the same text.
    if (parsed.ok() && !parseRules(parsed.rules.text).ok())
        std::abort();
    return 0;
}
