#include "Settings/SettingDefinition.h"

#include <charconv>
#include <cstdint>

namespace almondscale {

namespace {

    using Assign = std::function<bool(HostSettings&, const std::string&)>;

    constexpr const char* addressAllowed = "IP:PORT, the port from 1 to 65535";
    constexpr const char* keyAllowed = "16 to 256 printable characters";
    constexpr const char* nameAllowed = "1 to 64 letters, digits, '-', '_' or '.'";

    bool isName(const std::string& text)
    {
        const char* letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
        return !text.empty() && text.size() <= 64 && text.find_first_not_of(letters) == std::string::npos;
    }

    template <typename Id> Assign name(Id HostSettings::*member)
    {
        return [member](HostSettings& settings, const std::string& text) {
            settings.*member = Id(text);
            return isName(text);
        };
    }

    Assign address(Address HostSettings::*member)
    {
        return [member](HostSettings& settings, const std::string& text) {
            const auto parsed = parseAddress(text);
            settings.*member = parsed.value_or(Address {});
            return parsed.has_value();
        };
    }

    Assign key(std::string HostSettings::*member)
    {
        return [member](HostSettings& settings, const std::string& text) {
            settings.*member = text;
            return text.size() >= 16 && text.size() <= 256;
        };
    }

    bool parseBetween(
        const std::string& text, std::int64_t lowest, std::int64_t highest, std::int64_t& number)
    {
        const char* end = text.data() + text.size();
        const auto result = std::from_chars(text.data(), end, number);
        return result.ec == std::errc() && result.ptr == end && number >= lowest && number <= highest;
    }

    Assign milliseconds(Nanoseconds HostSettings::*member, std::int64_t lowest, std::int64_t highest)
    {
        return [=](HostSettings& settings, const std::string& text) {
            std::int64_t number = 0;
            const bool valid = parseBetween(text, lowest, highest, number);
            settings.*member = std::chrono::milliseconds(number);
            return valid;
        };
    }

    Assign bytes(ByteCount HostSettings::*member, std::int64_t lowest, std::int64_t highest)
    {
        return [=](HostSettings& settings, const std::string& text) {
            std::int64_t number = 0;
            const bool valid = parseBetween(text, lowest, highest, number);
            settings.*member = ByteCount(number);
            return valid;
        };
    }

    Assign count(int HostSettings::*member, std::int64_t lowest, std::int64_t highest)
    {
        return [=](HostSettings& settings, const std::string& text) {
            std::int64_t number = 0;
            const bool valid = parseBetween(text, lowest, highest, number);
            settings.*member = static_cast<int>(number);
            return valid;
        };
    }

    Assign flag(bool HostSettings::*member)
    {
        return [member](HostSettings& settings, const std::string& text) {
            settings.*member = text == "yes";
            return text == "yes" || text == "no";
        };
    }

    Assign logLevel()
    {
        return [](HostSettings& settings, const std::string& text) {
            if (text == "debug")
                settings.logLevel = LogLevel::Debug;
            else if (text == "info")
                settings.logLevel = LogLevel::Info;
            else if (text == "warning")
                settings.logLevel = LogLevel::Warning;
            else if (text == "error")
                settings.logLevel = LogLevel::Error;
            else
                return false;
            return true;
        };
    }

} // namespace

const std::vector<SettingDefinition>& settingDefinitions()
{
    using S = HostSettings;
    static const std::vector<SettingDefinition> definitions {
        { "host", "id", true, nameAllowed, "The name of this host; no two hosts share one.", name(&S::host) },
        { "host", "data_centre", true, nameAllowed, "The data centre the host stands in.",
            name(&S::dataCentre) },
        { "callers", "listen", true, addressAllowed, "Where callers connect.", address(&S::callersListen) },
        { "callers", "max_body_bytes", false, "1024 to 268435456", "The longest request body, in bytes.",
            bytes(&S::maxBody, 1024, 268435456) },
        { "callers", "max_threads", false, "4 to 10000", "The most requests served at once.",
            count(&S::maxThreads, 4, 10000) },
        { "callers", "body_timeout_ms", false, "100 to 600000",
            "How long a request body may take to arrive, in ms.",
            milliseconds(&S::bodyTimeout, 100, 600000) },
        { "callers", "idle_timeout_ms", false, "100 to 600000",
            "How long a caller may neither send nor take a byte, in ms.",
            milliseconds(&S::idleTimeout, 100, 600000) },
        { "operators", "listen", true, addressAllowed, "Where the command-line tool and metrics connect.",
            address(&S::operatorsListen) },
        { "operators", "key", true, keyAllowed, "The key that operators' commands carry.",
            key(&S::operatorsKey) },
        { "peers", "listen", true, addressAllowed, "Where the other hosts connect.",
            address(&S::peersListen) },
        { "peers", "key", true, keyAllowed, "The key that frames between hosts are signed with.",
            key(&S::peersKey) },
        { "peers", "previous_key", false, keyAllowed,
            "A second key that is accepted during a change of keys.", key(&S::peersPreviousKey) },
        { "platform", "address", true, addressAllowed, "Where the platform's service is.",
            address(&S::platform) },
        { "platform", "timeout_ms", false, "10 to 60000", "How long a call to the platform may take, in ms.",
            milliseconds(&S::platformTimeout, 10, 60000) },
        { "serving", "default_deadline_ms", false, "10 to 3600000",
            "The deadline of a request that names none, in ms.",
            milliseconds(&S::defaultDeadline, 10, 3600000) },
        { "serving", "queue_requests", false, "1 to 100000", "The most requests that wait per model.",
            count(&S::queueRequests, 1, 100000) },
        { "serving", "queue_bytes", false, "1024 to 4294967296",
            "The most bytes of requests that wait per model.", bytes(&S::queueBytes, 1024, 4294967296) },
        { "serving", "stream_silence_ms", false, "50 to 60000",
            "How long an engine's stream may be silent before it is asked about, in ms.",
            milliseconds(&S::streamSilence, 50, 60000) },
        { "serving", "balancer_grace_ms", false, "0 to 600000",
            "How long a host that shuts down goes on accepting for the balancer's sake, in ms.",
            milliseconds(&S::balancerGrace, 0, 600000) },
        { "serving", "report_interval_ms", false, "20 to 10000",
            "How often an engine is asked for its load, in ms.",
            milliseconds(&S::reportInterval, 20, 10000) },
        { "authority", "lease_ms", false, "500 to 600000", "How long a lease holds, in ms.",
            milliseconds(&S::lease, 500, 600000) },
        { "authority", "lease_margin_ms", false, "50 to 60000",
            "How much earlier its holder stops acting, in ms.", milliseconds(&S::leaseMargin, 50, 60000) },
        { "authority", "engine_read_timeout_ms", false, "50 to 60000",
            "After what time an engine drops an incomplete request, in ms.",
            milliseconds(&S::engineReadTimeout, 50, 60000) },
        { "authority", "order_timeout_ms", false, "100 to 3600000",
            "After what time an engine that was closed for an order opens again, in ms.",
            milliseconds(&S::orderTimeout, 100, 3600000) },
        { "authority", "change_roles", false, "yes or no",
            "Whether this host may change the roles of engines.", flag(&S::rolesEnabled) },
        { "log", "level", false, "debug, info, warning or error",
            "The least important events that are logged.", logLevel() },
    };
    return definitions;
}

std::string settingsReference()
{
    std::string text = "| section | key | required | allowed | meaning |\n| --- | --- | --- | --- | --- |\n";
    for (const auto& definition : settingDefinitions()) {
        text.append("| ").append(definition.section).append(" | ").append(definition.key);
        text.append(definition.required ? " | yes | " : " | no | ");
        text.append(definition.allowed).append(" | ").append(definition.meaning).append(" |\n");
    }
    return text;
}

} // namespace almondscale
