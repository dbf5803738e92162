#include "Serving/HttpFields.h"

#include <algorithm>

namespace almondscale {

namespace {

    char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

} // namespace

bool equalIgnoringCase(const std::string& a, const std::string& b)
{
    return a.size() == b.size()
        && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

void HttpFields::add(std::string name, std::string value)
{
    m_fields.emplace_back(std::move(name), std::move(value));
}

const std::string* HttpFields::find(const std::string& name) const
{
    for (const auto& field : m_fields) {
        if (equalIgnoringCase(field.first, name))
            return &field.second;
    }
    return nullptr;
}

void HttpFields::erase(const std::string& name)
{
    m_fields.erase(std::remove_if(m_fields.begin(), m_fields.end(),
                       [&](const Field& field) { return equalIgnoringCase(field.first, name); }),
        m_fields.end());
}

} // namespace almondscale
