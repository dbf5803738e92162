#include "Http/Json.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace almondscale {

namespace {

    // The iterative parser keeps deeply nested input from exhausting the stack.
    constexpr unsigned parseFlags = rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag;

} // namespace

JsonDocument::JsonDocument() = default;

JsonDocument::~JsonDocument() = default;

JsonDocument::JsonDocument(JsonDocument&&) noexcept = default;

JsonDocument& JsonDocument::operator=(JsonDocument&&) noexcept = default;

std::optional<JsonDocument> parseJson(const std::string& text)
{
    JsonDocument document;
    document.Parse<parseFlags>(text.data(), text.size());
    if (document.HasParseError())
        return std::nullopt;
    return document;
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
