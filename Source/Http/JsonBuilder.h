#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace almondscale {

// Builds a JSON object member by member. Nested arrays and objects are opened by begin...() and closed by
// the matching end...().
class JsonBuilder {
public:
    JsonBuilder();
    ~JsonBuilder();

    JsonBuilder& text(const char* member, const std::string& value);
    JsonBuilder& integer(const char* member, std::int64_t value);
    JsonBuilder& number(const char* member, double value);
    JsonBuilder& flag(const char* member, bool value);
    // Adds a member whose value is already serialized JSON; it is not validated.
    JsonBuilder& raw(const char* member, const std::string& json);

    JsonBuilder& beginArray(const char* member);
    // Appends an element to the open array.
    JsonBuilder& element(const std::string& value);
    JsonBuilder& rawElement(const std::string& json);
    JsonBuilder& endArray();

    JsonBuilder& beginObject(const char* member);
    // Opens an object as an element of the open array.
    JsonBuilder& beginElement();
    JsonBuilder& endObject();

    // Closes the outermost object and returns the JSON; must be called only once.
    std::string finish();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
