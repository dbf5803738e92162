#include "Rules/RulesRows.h"

#include "Platform/RowValue.h"

#include <cxxtools/serializationinfo.h>

namespace almondscale {

namespace {

    std::uint64_t integerMember(const cxxtools::SerializationInfo& si, const char* name)
    {
        std::uint64_t value = 0;
        si.getMember(name) >>= value;
        return value;
    }

    std::string stringMember(const cxxtools::SerializationInfo& si, const char* name)
    {
        std::string value;
        si.getMember(name) >>= value;
        return value;
    }

} // namespace

static void operator<<=(cxxtools::SerializationInfo& si, const RulesHead& head)
{
    si.addMember("version") <<= head.version.count();
    si.addMember("change") <<= head.change.text();
}

static void operator>>=(const cxxtools::SerializationInfo& si, RulesHead& head)
{
    head.version = RulesVersion(integerMember(si, "version"));
    head.change = WriterId(stringMember(si, "change"));
}

static void operator<<=(cxxtools::SerializationInfo& si, const RulesChange& change)
{
    si.addMember("version") <<= change.version.count();
    si.addMember("change") <<= change.change.text();
    si.addMember("parent") <<= change.parent.text();
    si.addMember("author") <<= change.author;
    si.addMember("unix_seconds") <<= change.unixSeconds;
    si.addMember("text") <<= change.text;
}

static void operator>>=(const cxxtools::SerializationInfo& si, RulesChange& change)
{
    change.version = RulesVersion(integerMember(si, "version"));
    change.change = WriterId(stringMember(si, "change"));
    change.parent = WriterId(stringMember(si, "parent"));
    change.author = stringMember(si, "author");
    si.getMember("unix_seconds") >>= change.unixSeconds;
    change.text = stringMember(si, "text");
}

std::string rulesChangeKey(RulesVersion version, const WriterId& change)
{
    return "rules/" + std::to_string(version.count()) + "/" + change.text();
}

std::string encodeRulesHead(const RulesHead& head) { return encodeRowValue(head); }

std::optional<RulesHead> decodeRulesHead(const std::string& text) { return decodeRowValue<RulesHead>(text); }

std::string encodeRulesChange(const RulesChange& change) { return encodeRowValue(change); }

std::optional<RulesChange> decodeRulesChange(const std::string& text)
{
    return decodeRowValue<RulesChange>(text);
}

} // namespace almondscale
