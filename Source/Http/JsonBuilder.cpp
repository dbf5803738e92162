#include "Http/JsonBuilder.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace almondscale {

class JsonBuilder::Impl {
public:
    Impl()
        : writer(buffer)
    {
        writer.StartObject();
    }

    void raw(const std::string& json)
    {
        // The type argument affects only the writer's assertions; the text is copied unchanged.
        writer.RawValue(json.data(), json.size(), rapidjson::kObjectType);
    }

    void text(const std::string& value)
    {
        writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
    }

    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer;
};

JsonBuilder::JsonBuilder()
    : m_impl(std::make_unique<Impl>())
{
}

JsonBuilder::~JsonBuilder() = default;

JsonBuilder& JsonBuilder::text(const char* member, const std::string& value)
{
    m_impl->writer.Key(member);
    m_impl->text(value);
    return *this;
}

JsonBuilder& JsonBuilder::integer(const char* member, std::int64_t value)
{
    m_impl->writer.Key(member);
    m_impl->writer.Int64(value);
    return *this;
}

JsonBuilder& JsonBuilder::number(const char* member, double value)
{
    m_impl->writer.Key(member);
    m_impl->writer.Double(value);
    return *this;
}

JsonBuilder& JsonBuilder::flag(const char* member, bool value)
{
    m_impl->writer.Key(member);
    m_impl->writer.Bool(value);
    return *this;
}

JsonBuilder& JsonBuilder::raw(const char* member, const std::string& json)
{
    m_impl->writer.Key(member);
    m_impl->raw(json);
    return *this;
}

JsonBuilder& JsonBuilder::beginArray(const char* member)
{
    m_impl->writer.Key(member);
    m_impl->writer.StartArray();
    return *this;
}

JsonBuilder& JsonBuilder::element(const std::string& value)
{
    m_impl->text(value);
    return *this;
}

JsonBuilder& JsonBuilder::rawElement(const std::string& json)
{
    m_impl->raw(json);
    return *this;
}

JsonBuilder& JsonBuilder::endArray()
{
    m_impl->writer.EndArray();
    return *this;
}

JsonBuilder& JsonBuilder::beginObject(const char* member)
{
    m_impl->writer.Key(member);
    m_impl->writer.StartObject();
    return *this;
}

JsonBuilder& JsonBuilder::beginElement()
{
    m_impl->writer.StartObject();
    return *this;
}

JsonBuilder& JsonBuilder::endObject()
{
    m_impl->writer.EndObject();
    return *this;
}

std::string JsonBuilder::finish()
{
    m_impl->writer.EndObject();
    return { m_impl->buffer.GetString(), m_impl->buffer.GetSize() };
}

} // namespace almondscale
