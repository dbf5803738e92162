#include "Http/LowerCase.h"

#include <algorithm>
#include <cctype>

namespace almondscale {

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

} // namespace almondscale
