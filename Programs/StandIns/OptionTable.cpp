#include "StandIns/OptionTable.h"

#include <getopt.h>

#include <iostream>
#include <utility>

namespace almondscale::standin {

namespace {

    constexpr int usageExitCode = 2;
    constexpr int helpOption = 'h';
    constexpr int unknownOption = '?';
    // Above any character, which getopt_long uses for itself.
    constexpr int firstOption = 1000;

} // namespace

OptionTable::OptionTable(std::string program, std::string purpose)
    : m_program(std::move(program))
    , m_purpose(std::move(purpose))
{
}

void OptionTable::add(std::string name, std::string valueName, std::string help, Setter set)
{
    m_options.push_back({ std::move(name), std::move(valueName), std::move(help), std::move(set) });
}

bool OptionTable::parse(int argc, char** argv)
{
    std::vector<option> table;
    int value = firstOption;
    for (const Option& entry : m_options)
        table.push_back({ entry.name.c_str(), required_argument, nullptr, value++ });
    table.push_back({ "help", no_argument, nullptr, helpOption });
    table.push_back({ nullptr, 0, nullptr, 0 });
    for (;;) {
        const int found = ::getopt_long(argc, argv, "", table.data(), nullptr);
        if (found == -1)
            break;
        if (found == helpOption) {
            printHelp();
            return false;
        }
        m_exitCode = usageExitCode;
        if (found == unknownOption)
            return false;
        const Option& entry = m_options[static_cast<std::size_t>(found - firstOption)];
        if (!entry.set(optarg)) {
            std::cerr << m_program << ": --" << entry.name << " takes " << entry.valueName << ", not '"
                      << optarg << "'; see --help\n";
            return false;
        }
        m_exitCode = 0;
    }
    if (optind == argc)
        return true;
    std::cerr << m_program << ": unexpected '" << argv[optind] << "'; see --help\n";
    m_exitCode = usageExitCode;
    return false;
}

void OptionTable::printHelp() const
{
    std::cout << m_program << ": " << m_purpose << "\n\n";
    for (const Option& entry : m_options)
        std::cout << "  --" << entry.name << " " << entry.valueName << "\n        " << entry.help << "\n";
    std::cout << "  --help\n        print this and end\n";
}

} // namespace almondscale::standin
