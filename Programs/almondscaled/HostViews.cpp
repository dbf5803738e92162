#include "HostViews.h"

#include "Http/JsonBuilder.h"

namespace almondscale {

namespace {

    const char* stateWord(EngineAvailability state)
    {
        switch (state) {
        case EngineAvailability::Open:
            return "open";
        case EngineAvailability::Closing:
            return "closing";
        case EngineAvailability::Leaving:
            return "leaving";
        case EngineAvailability::Dead:
            return "dead";
        case EngineAvailability::Unknown:
            break;
        }
        return "unknown";
    }

} // namespace

std::string membersJson(const std::vector<Member>& members)
{
    JsonBuilder json;
    json.beginArray("hosts");
    for (const Member& member : members) {
        json.beginElement()
            .text("id", member.host.text())
            .text("data_centre", member.dataCentre.text())
            .text("address", member.address.text())
            .text("state", memberStateName(member.state))
            .integer("incarnation", static_cast<std::int64_t>(member.incarnation.count()))
            .integer("rules_version", static_cast<std::int64_t>(member.rules.count()))
            .endObject();
    }
    return json.endArray().finish();
}

std::string enginesJson(const std::vector<EngineRecord>& engines)
{
    JsonBuilder json;
    json.beginArray("engines");
    for (const EngineRecord& engine : engines) {
        json.beginElement()
            .text("id", engine.view.id.text())
            .text("model", engine.view.model.text())
            .text("data_centre", engine.view.dataCentre.text())
            .text("address", engine.view.address.text())
            .text("role", engineRoleName(engine.view.role))
            .text("state", stateWord(engine.view.state))
            .flag("checks_fencing", engine.checksFencing)
            .integer("boot", static_cast<std::int64_t>(engine.boot))
            .integer("running", engine.load.running)
            .integer("queued", engine.load.queued)
            .integer("free_blocks", engine.load.freeBlocks.count())
            .endObject();
    }
    return json.endArray().finish();
}

} // namespace almondscale
