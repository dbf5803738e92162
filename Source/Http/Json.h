#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <optional>
#include <string>

namespace almondscale {

using JsonValue = rapidjson::Value;

// A parsed JSON document. The destructor is out of line, because the static analyzer reports the inline one
// of RapidJSON as a double deletion.
class JsonDocument : public rapidjson::Document {
public:
    JsonDocument();
    ~JsonDocument();
    JsonDocument(JsonDocument&&) noexcept;
    JsonDocument& operator=(JsonDocument&&) noexcept;
};

// Parses JSON; std::nullopt if the text is not valid JSON, not UTF-8, or nested more than 64 levels deep.
std::optional<JsonDocument> parseJson(const std::string&);
// The same for text whose strings may hold bytes that are not UTF-8.
std::optional<JsonDocument> parseJsonOfAnyBytes(const std::string&);
// Whether the value is a string in UTF-8.
bool isUtf8(const JsonValue&);

// The member of an object, or null if the value is not an object or has no such member.
const JsonValue* jsonMember(const JsonValue&, const char* member);

// The member converted to the type; the fallback if it is absent or has another type.
std::string jsonString(const JsonValue&, const char* member, const std::string& fallback = {});
std::int64_t jsonInteger(const JsonValue&, const char* member, std::int64_t fallback = 0);
double jsonNumber(const JsonValue&, const char* member, double fallback = 0);
bool jsonFlag(const JsonValue&, const char* member, bool fallback = false);

// Serializes the value as JSON on one line.
std::string serializeJson(const JsonValue&);

} // namespace almondscale
