#pragma once

#include "Core/HostId.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace almondscale {

// What a piece of news is about; an empty item key stands for the host's record.
struct NewsKey {
    HostId host;
    std::string item;

    friend bool operator<(const NewsKey& a, const NewsKey& b)
    {
        return a.host < b.host || (a.host == b.host && a.item < b.item);
    }
};

// Which news goes first.
enum class NewsUrgency {
    Urgent,
    Routine,
};

// Decides which news a frame carries: the urgent first and of these the least carried, each a bounded number
// of times.
class NewsQueue {
public:
    void add(const NewsKey&, NewsUrgency = NewsUrgency::Urgent);
    void drop(const NewsKey&);

    // Offers news to `take`, which answers whether it went into the frame; stops when `full` says so. News
    // goes when it has been carried as often as `limit` says.
    void offer(const std::function<std::size_t(const NewsKey&)>& limit,
        const std::function<bool(const NewsKey&)>& take, const std::function<bool()>& full);

private:
    struct Entry {
        NewsUrgency urgency = NewsUrgency::Urgent;
        std::size_t carried = 0;
    };

    std::map<NewsKey, Entry> m_entries;
};

} // namespace almondscale
