#include "StandIns/EngineFace.h"
#include "StandIns/EngineOptions.h"
#include "StandIns/OptionValues.h"
#include "StandIns/StandInProgram.h"
#include "StandIns/StandInServer.h"

int main(int argc, char** argv)
{
    using namespace almondscale;
    using namespace almondscale::standin;

    Address listen { "127.0.0.1", 0 };
    EngineSettings settings;
    OptionTable options("almondscale-engine", "stands in for a model engine");
    options.add("listen", "IP:PORT", "the address to serve; port 0 finds a free one", setAddress(listen));
    addEngineOptions(options, settings);
    if (!options.parse(argc, argv))
        return options.exitCode();

    StandInProgram program;
    StandInServer* running = nullptr;
    EngineFace face(settings, [&running](Nanoseconds time) { running->interrupt(time); });
    StandInServer server(
        listen, settings.requestReadTimeout, [&face](HttpExchange& exchange) { face.handle(exchange); });
    running = &server;
    return program.run(server);
}
