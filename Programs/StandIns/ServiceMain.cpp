#include "StandIns/OptionTable.h"
#include "StandIns/OptionValues.h"
#include "StandIns/ServiceFace.h"
#include "StandIns/StandInProgram.h"
#include "StandIns/StandInServer.h"

int main(int argc, char** argv)
{
    using namespace almondscale;
    using namespace almondscale::standin;

    Address listen { "127.0.0.1", 0 };
    OptionTable options("almondscale-service", "stands in for a plain service that counts its runs");
    options.add("listen", "IP:PORT", "the address to serve; port 0 finds a free one", setAddress(listen));
    if (!options.parse(argc, argv))
        return options.exitCode();

    StandInProgram program;
    ServiceFace face;
    const Nanoseconds readTimeout = std::chrono::seconds(10);
    StandInServer server(listen, readTimeout, [&face](HttpExchange& exchange) { face.handle(exchange); });
    return program.run(server);
}
