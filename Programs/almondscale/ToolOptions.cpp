#include "ToolOptions.h"

#include <cstdlib>
#include <fstream>
#include <getopt.h>

namespace almondscale {

namespace {

    enum OptionCode {
        HostOption = 256,
        StoreOption,
        KeyFileOption,
        JsonOption,
        HelpOption,
        VersionOption,
        ValueOption,
    };

    const option longOptions[] = {
        { "host", required_argument, nullptr, HostOption },
        { "store", required_argument, nullptr, StoreOption },
        { "key-file", required_argument, nullptr, KeyFileOption },
        { "json", no_argument, nullptr, JsonOption },
        { "help", no_argument, nullptr, HelpOption },
        { "version", no_argument, nullptr, VersionOption },
        { "author", required_argument, nullptr, ValueOption },
        { "base", required_argument, nullptr, ValueOption },
        { "change", required_argument, nullptr, ValueOption },
        { "svg", required_argument, nullptr, ValueOption },
        { nullptr, 0, nullptr, 0 },
    };

    std::string environment(const char* name)
    {
        const char* value = std::getenv(name);
        return value ? value : "";
    }

    void readKey(const std::string& file, ToolOptions& options)
    {
        std::ifstream in(file);
        if (!std::getline(in, options.key) || options.key.empty())
            options.error = file + ":1: no key; put the operators' key into the first line";
    }

    void readAddress(
        const char* name, const std::string& text, const char* of, Address& address, std::string& error)
    {
        if (text.empty())
            return;
        if (const auto parsed = parseAddress(text))
            address = *parsed;
        else
            error = std::string("--") + name + " '" + text + "' is wrong; give IP:PORT of " + of;
    }

} // namespace

ToolOptions parseToolOptions(int argc, char* argv[])
{
    ToolOptions options;
    std::string host = environment("ALMONDSCALE_HOST");
    std::string store = environment("ALMONDSCALE_STORE");
    std::string keyFile = environment("ALMONDSCALE_KEY_FILE");
    opterr = 0;
    int code = 0;
    int index = 0;
    while ((code = getopt_long(argc, argv, "", longOptions, &index)) != -1) {
        switch (code) {
        case HostOption:
            host = optarg;
            break;
        case StoreOption:
            store = optarg;
            break;
        case KeyFileOption:
            keyFile = optarg;
            break;
        case JsonOption:
            options.json = true;
            break;
        case HelpOption:
            options.help = true;
            break;
        case VersionOption:
            options.version = true;
            break;
        case ValueOption:
            options.values[longOptions[index].name] = optarg;
            break;
        default:
            options.error = std::string("unknown or incomplete option ") + argv[optind - 1];
            return options;
        }
    }
    for (int i = optind; i < argc; ++i)
        options.words.emplace_back(argv[i]);
    readAddress("host", host, "a host's operators' port", options.host, options.error);
    readAddress("store", store, "the platform's store", options.store, options.error);
    if (!keyFile.empty() && options.error.empty())
        readKey(keyFile, options);
    return options;
}

} // namespace almondscale
