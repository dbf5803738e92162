#include "StandIns/OptionTable.h"
#include "StandIns/OptionValues.h"
#include "StandIns/PlatformFace.h"
#include "StandIns/StandInProgram.h"
#include "StandIns/StandInServer.h"

int main(int argc, char** argv)
{
    using namespace almondscale;
    using namespace almondscale::standin;

    Address listen { "127.0.0.1", 0 };
    PlatformSettings settings;
    OptionTable options("almondscale-platform", "stands in for the platform's table, objects and host list");
    options.add("listen", "IP:PORT", "the address to serve; port 0 finds a free one", setAddress(listen));
    options.add("reads-per-second", "N", "reads above this get 503", setRate(settings.readsPerSecond));
    options.add("writes-per-second", "N", "writes above this get 503", setRate(settings.writesPerSecond));
    options.add("host-lag-ms", "N", "how long the host list lags", setMilliseconds(settings.hostLag));
    if (!options.parse(argc, argv))
        return options.exitCode();

    StandInProgram program;
    PlatformFace face(settings);
    const Nanoseconds readTimeout = std::chrono::seconds(10);
    StandInServer server(listen, readTimeout, [&face](HttpExchange& exchange) { face.handle(exchange); });
    return program.run(server);
}
