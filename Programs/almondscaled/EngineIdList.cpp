#include "EngineIdList.h"

#include <sstream>

namespace almondscale {

void readEngineIds(const std::string& text, std::set<EngineId>& engines)
{
    std::istringstream words(text);
    for (std::string word; words >> word;)
        engines.insert(EngineId(word));
}

} // namespace almondscale
