#pragma once

#include <cstddef>
#include <vector>

namespace almondscale {

// News in the order in which this host heard it, for readers that each go on where they were.
template <typename News> class NewsLog {
public:
    void add(const News& news) { m_news.push_back(news); }

    // What came after the position; sets the position to the end.
    std::vector<News> since(std::size_t& position) const
    {
        const auto begin = m_news.begin() + static_cast<std::ptrdiff_t>(position);
        position = m_news.size();
        return { begin, m_news.end() };
    }

private:
    std::vector<News> m_news;
};

} // namespace almondscale
