#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace almondscale {

// A string identifier of a distinct type, so that identifiers of different kinds cannot be
// confused.
template <typename Tag> class Identifier {
public:
    Identifier() = default;
    explicit Identifier(std::string text)
        : m_text(std::move(text))
    {
    }

    const std::string& text() const { return m_text; }
    bool empty() const { return m_text.empty(); }

    friend bool operator==(const Identifier& a, const Identifier& b) { return a.m_text == b.m_text; }
    friend bool operator!=(const Identifier& a, const Identifier& b) { return a.m_text != b.m_text; }
    friend bool operator<(const Identifier& a, const Identifier& b) { return a.m_text < b.m_text; }
    friend std::ostream& operator<<(std::ostream& out, const Identifier& id) { return out << id.m_text; }

private:
    std::string m_text;
};

} // namespace almondscale

template <typename Tag> struct std::hash<almondscale::Identifier<Tag>> {
    std::size_t operator()(const almondscale::Identifier<Tag>& id) const noexcept
    {
        return std::hash<std::string>()(id.text());
    }
};
