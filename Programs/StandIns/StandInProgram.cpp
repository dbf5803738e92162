#include "StandIns/StandInProgram.h"

#include "StandIns/StandInServer.h"

#include <pthread.h>
#include <unistd.h>

#include <iostream>
#include <thread>

namespace almondscale::standin {

StandInProgram::StandInProgram()
{
    ::sigemptyset(&m_signals);
    ::sigaddset(&m_signals, SIGTERM);
    ::sigaddset(&m_signals, SIGINT);
    ::pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
}

int StandInProgram::run(StandInServer& server)
{
    std::thread waiter([this, &server] {
        int signal = 0;
        ::sigwait(&m_signals, &signal);
        server.stop();
    });
    int result = 0;
    try {
        server.run([&server] { std::cout << "listening=" << server.address().text() << '\n' << std::flush; });
    } catch (const std::exception& error) {
        std::cerr << "cannot serve on " << server.address().text() << ": " << error.what()
                  << "; choose another --listen\n";
        // The waiting thread takes the signal, as it would a signal from outside.
        ::kill(::getpid(), SIGTERM);
        result = 1;
    }
    waiter.join();
    return result;
}

} // namespace almondscale::standin
