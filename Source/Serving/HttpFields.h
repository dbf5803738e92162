#pragma once

#include <string>
#include <utility>
#include <vector>

namespace almondscale {

// The header fields of an HTTP message, in order. Names are case-insensitive.
class HttpFields {
public:
    using Field = std::pair<std::string, std::string>;

    void add(std::string name, std::string value);
    // The first value of the field, or null.
    const std::string* find(const std::string& name) const;
    bool has(const std::string& name) const { return find(name) != nullptr; }
    void erase(const std::string& name);

    const std::vector<Field>& all() const { return m_fields; }

private:
    std::vector<Field> m_fields;
};

// Whether two field names or tokens are equal, ignoring the case of ASCII letters.
bool equalIgnoringCase(const std::string&, const std::string&);

} // namespace almondscale
