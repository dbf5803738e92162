#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace almondscale {

// A program under test, started from the build's own binaries. It is killed with its owner.
class ChildProcess {
public:
    // The output goes to the file.
    ChildProcess(
        const std::string& program, const std::vector<std::string>& arguments, std::string outputFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void signal(int number);
    // The exit status, or -1 if it was ended by a signal.
    int wait();
    // Waits for the value of the first "key=value" line; empty if the program ends without it.
    std::string outputValue(const std::string& key);
    bool ended();

private:
    pid_t m_pid = -1;
    bool m_waited = false;
    int m_status = 0;
    std::string m_outputFile;
};

} // namespace almondscale
