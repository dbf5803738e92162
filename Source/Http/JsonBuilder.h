#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace almondscale {

// Writes one JSON object member by member; nested values are opened and closed by name.
class JsonBuilder {
public:
    JsonBuilder();
    ~JsonBuilder();

    JsonBuilder& text(const char* member, const std::string& value);
    JsonBuilder& integer(const char* member, std::int64_t value);
    JsonBuilder& number(const char* member, double value);
    JsonBuilder& flag(const char* member, bool value);
    // Adds a member whose value is JSON text already.
    JsonBuilder& raw(const char* member, const std::string& json);

    JsonBuilder& beginArray(const char* member);
    // Adds an element to the open array.
    JsonBuilder& element(const std::string& value);
    JsonBuilder& rawElement(const std::string& json);
    JsonBuilder& endArray();

    JsonBuilder& beginObject(const char* member);
    // Opens an object that is an element of the open array.
    JsonBuilder& beginElement();
    JsonBuilder& endObject();

    // Closes the outermost object and returns the text; to be called once.
    std::string finish();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
