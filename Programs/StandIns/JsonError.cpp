#include "StandIns/JsonError.h"

#include "Http/JsonBuilder.h"

namespace almondscale::standin {

std::string jsonError(const std::string& word)
{
    JsonBuilder json;
    json.text("error", word);
    return json.finish();
}

} // namespace almondscale::standin
