#include "Settings/SettingsReader.h"

#include "Settings/SettingDefinition.h"

#include <cxxtools/iniparser.h>

#include <algorithm>
#include <map>
#include <sstream>

namespace almondscale {

namespace {

    std::string trimmed(const std::string& text)
    {
        const char* blanks = " \t\r";
        const auto first = text.find_first_not_of(blanks);
        if (first == std::string::npos)
            return {};
        return text.substr(first, text.find_last_not_of(blanks) - first + 1);
    }

    // Handles the parser's events and records each error with its line.
    class Collector : public cxxtools::IniParser::Event {
    public:
        explicit Collector(ReadSettings& result)
            : m_result(result)
        {
        }

        void setLine(int line) { m_line = line; }

        bool onSection(const cxxtools::String& section) override
        {
            m_section = trimmed(cxxtools::Utf8Codec::encode(section));
            const auto& all = settingDefinitions();
            const bool known = std::any_of(
                all.begin(), all.end(), [this](const auto& d) { return m_section == d.section; });
            if (!known)
                fail("unknown section [" + m_section + "]; allowed: " + sections());
            return false;
        }

        bool onKey(const cxxtools::String& key) override
        {
            m_key = trimmed(cxxtools::Utf8Codec::encode(key));
            return false;
        }

        bool onValue(const cxxtools::String& value) override
        {
            take(trimmed(cxxtools::Utf8Codec::encode(value)));
            return false;
        }

        bool onError() override
        {
            fail("not a section or a key=value line; correct or remove it");
            return true;
        }

        void requireAll()
        {
            for (const auto& definition : settingDefinitions()) {
                if (definition.required && !m_seen.count(nameOf(definition)))
                    m_result.errors.push_back({ 0,
                        std::string("missing key ") + nameOf(definition)
                            + "; allowed: " + definition.allowed });
            }
        }

        void requireDifferentAddresses()
        {
            const HostSettings& s = m_result.settings;
            const std::map<std::string, Address> listening { { "callers.listen", s.callersListen },
                { "operators.listen", s.operatorsListen }, { "peers.listen", s.peersListen } };
            std::map<Address, std::string> owners;
            for (const auto& [name, address] : listening) {
                if (address.empty())
                    continue;
                const auto [owner, isNew] = owners.emplace(address, name);
                if (!isNew)
                    m_result.errors.push_back({ m_seen[name],
                        name + " has the same address as " + owner->second + "; give each its own" });
            }
        }

    private:
        static std::string nameOf(const SettingDefinition& definition)
        {
            return std::string(definition.section) + "." + definition.key;
        }

        static std::string sections()
        {
            std::string text;
            for (const auto& definition : settingDefinitions()) {
                if (text.find(std::string("[") + definition.section + "]") == std::string::npos)
                    text.append(text.empty() ? "[" : " [").append(definition.section).append("]");
            }
            return text;
        }

        std::string keys() const
        {
            std::string text;
            for (const auto& definition : settingDefinitions()) {
                if (m_section == definition.section)
                    text.append(text.empty() ? "" : " ").append(definition.key);
            }
            return text;
        }

        void take(const std::string& value)
        {
            const auto& all = settingDefinitions();
            const std::string name = m_section + "." + m_key;
            const auto found
                = std::find_if(all.begin(), all.end(), [&](const auto& d) { return nameOf(d) == name; });
            if (found == all.end()) {
                if (!keys().empty())
                    fail("unknown key '" + m_key + "' in [" + m_section + "]; allowed: " + keys());
                return;
            }
            const auto [seen, isNew] = m_seen.emplace(name, m_line);
            if (!isNew) {
                fail("key '" + m_key + "' was set in line " + std::to_string(seen->second) + "; remove one");
                return;
            }
            if (!found->assign(m_result.settings, value))
                fail("bad value '" + value + "' for " + name + "; allowed: " + found->allowed);
        }

        void fail(const std::string& text) { m_result.errors.push_back({ m_line, text }); }

        ReadSettings& m_result;
        std::string m_section;
        std::string m_key;
        std::map<std::string, int> m_seen;
        int m_line = 1;
    };

} // namespace

ReadSettings readSettings(const std::string& text)
{
    ReadSettings result;
    Collector collector(result);
    cxxtools::IniParser parser(collector);
    int line = 1;
    for (const cxxtools::Char c : cxxtools::Utf8Codec::decode(text)) {
        collector.setLine(line);
        if (parser.parse(c))
            return result;
        if (c == cxxtools::Char('\n'))
            ++line;
    }
    collector.setLine(line);
    parser.end();
    collector.requireAll();
    collector.requireDifferentAddresses();
    return result;
}

std::string describe(const SettingError& error, const std::string& file)
{
    std::string text = file;
    if (error.line > 0)
        text += ":" + std::to_string(error.line);
    return text + ": " + error.text;
}

} // namespace almondscale
