#include "ChildProcess.h"

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <utility>

extern char** environ;

namespace almondscale {

namespace {

    constexpr std::chrono::milliseconds outputPoll { 10 };
    constexpr int readableMode = 0644;

} // namespace

ChildProcess::ChildProcess(
    const std::string& program, const std::vector<std::string>& arguments, std::string outputFile)
    : m_outputFile(std::move(outputFile))
{
    const std::string path = std::string(ALMONDSCALE_PROGRAMS) + "/" + program;
    std::vector<std::string> words { path };
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> raw;
    raw.reserve(words.size() + 1);
    for (std::string& word : words)
        raw.push_back(word.data());
    raw.push_back(nullptr);

    posix_spawn_file_actions_t files;
    ::posix_spawn_file_actions_init(&files);
    ::posix_spawn_file_actions_addopen(
        &files, 1, m_outputFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC, readableMode);
    ::posix_spawn_file_actions_adddup2(&files, 1, 2);
    const int error = ::posix_spawn(&m_pid, path.c_str(), &files, nullptr, raw.data(), environ);
    ::posix_spawn_file_actions_destroy(&files);
    if (error != 0)
        throw std::runtime_error("cannot start " + path);
}

ChildProcess::~ChildProcess()
{
    signal(SIGKILL);
    wait();
}

void ChildProcess::signal(int number)
{
    if (!ended())
        ::kill(m_pid, number);
}

bool ChildProcess::ended()
{
    if (!m_waited)
        m_waited = ::waitpid(m_pid, &m_status, WNOHANG) == m_pid;
    return m_waited;
}

int ChildProcess::wait()
{
    if (!m_waited)
        m_waited = ::waitpid(m_pid, &m_status, 0) == m_pid;
    return WIFEXITED(m_status) ? WEXITSTATUS(m_status) : -1;
}

std::string ChildProcess::outputValue(const std::string& key)
{
    const std::string begin = key + "=";
    for (;;) {
        const bool last = ended();
        std::ifstream output(m_outputFile);
        std::string line;
        while (std::getline(output, line)) {
            if (line.compare(0, begin.size(), begin) == 0 && !output.eof())
                return line.substr(begin.size());
        }
        if (last)
            return {};
        std::this_thread::sleep_for(outputPoll);
    }
}

} // namespace almondscale
