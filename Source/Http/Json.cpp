#include "Http/Json.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace almondscale {

namespace {

    // The iterative parser keeps deeply nested input from exhausting the stack.
    constexpr unsigned parseFlags = rapidjson::kParseIterativeFlag;
    // More than any message has. Walking a document, e.g. to serialize it, recurses.
    constexpr int maxNesting = 64;

    // Whether arrays and objects are nested deeper than maxNesting.
    bool isTooDeep(const std::string& text)
    {
        int depth = 0;
        bool inString = false;
        for (std::size_t i = 0; i < text.size(); ++i) {
            const char c = text[i];
            if (inString && c == '\\')
                ++i;
            else if (c == '"')
                inString = !inString;
            else if (!inString && (c == '[' || c == '{') && ++depth > maxNesting)
                return true;
            else if (!inString && (c == ']' || c == '}'))
                --depth;
        }
        return false;
    }

    template <unsigned flags> std::optional<JsonDocument> parse(const std::string& text)
    {
        if (isTooDeep(text))
            return std::nullopt;
        JsonDocument document;
        document.Parse<flags>(text.data(), text.size());
        if (document.HasParseError())
            return std::nullopt;
        return document;
    }

} // namespace

JsonDocument::JsonDocument() = default;

JsonDocument::~JsonDocument() = default;

JsonDocument::JsonDocument(JsonDocument&&) noexcept = default;

JsonDocument& JsonDocument::operator=(JsonDocument&&) noexcept = default;

std::optional<JsonDocument> parseJson(const std::string& text)
{
    return parse<parseFlags | rapidjson::kParseValidateEncodingFlag>(text);
}

std::optional<JsonDocument> parseJsonOfAnyBytes(const std::string& text) { return parse<parseFlags>(text); }

bool isUtf8(const JsonValue& value)
{
    if (!value.IsString())
        return false;
    rapidjson::StringStream text(value.GetString());
    rapidjson::StringBuffer copy;
    while (text.Peek() != 0) {
        if (!rapidjson::UTF8<>::Validate(text, copy))
            return false;
    }
    return true;
}

const JsonValue* jsonMember(const JsonValue& object, const char* member)
{
    if (!object.IsObject())
        return nullptr;
    const auto found = object.FindMember(member);
    return found == object.MemberEnd() ? nullptr : &found->value;
}

std::string jsonString(const JsonValue& object, const char* member, const std::string& fallback)
{
    const JsonValue* value = jsonMember(object, member);
    if (!value || !value->IsString())
        return fallback;
    return { value->GetString(), value->GetStringLength() };
}

std::int64_t jsonInteger(const JsonValue& object, const char* member, std::int64_t fallback)
{
    const JsonValue* value = jsonMember(object, member);
    return value && value->IsInt64() ? value->GetInt64() : fallback;
}

double jsonNumber(const JsonValue& object, const char* member, double fallback)
{
    const JsonValue* value = jsonMember(object, member);
    return value && value->IsNumber() ? value->GetDouble() : fallback;
}

bool jsonFlag(const JsonValue& object, const char* member, bool fallback)
{
    const JsonValue* value = jsonMember(object, member);
    return value && value->IsBool() ? value->GetBool() : fallback;
}

std::string serializeJson(const JsonValue& value)
{
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    value.Accept(writer);
    return { buffer.GetString(), buffer.GetSize() };
}

} // namespace almondscale
