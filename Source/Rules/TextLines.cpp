#include "Rules/TextLines.h"

namespace almondscale {

std::vector<std::string> splitLines(const std::string& text)
{
    std::vector<std::string> lines;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const auto end = std::min(text.find('\n', begin), text.size());
        lines.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return lines;
}

std::string joinLines(const std::vector<std::string>& lines)
{
    std::string text;
    for (const auto& line : lines)
        text.append(line).push_back('\n');
    return text;
}

} // namespace almondscale
