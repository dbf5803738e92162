#pragma once

#include <functional>
#include <string>
#include <vector>

namespace almondscale::standin {

// The long options of a stand-in program, read by getopt_long.
class OptionTable {
public:
    // Takes a value; false if it is not allowed.
    using Setter = std::function<bool(const std::string&)>;

    OptionTable(std::string program, std::string purpose);

    void add(std::string name, std::string valueName, std::string help, Setter);

    // True if the program should go on; otherwise it ends with exitCode().
    bool parse(int argc, char** argv);
    int exitCode() const { return m_exitCode; }

private:
    struct Option {
        std::string name;
        std::string valueName;
        std::string help;
        Setter set;
    };

    void printHelp() const;

    std::string m_program;
    std::string m_purpose;
    std::vector<Option> m_options;
    int m_exitCode = 0;
};

} // namespace almondscale::standin
