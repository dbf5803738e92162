#pragma once

#include "Platform/Table.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace almondscale::test {

// The platform's table in memory, with a switch for each way in which the real one fails.
// It must outlive the hooks that table() gives.
class FakeTable {
public:
    // Nothing is answered and nothing is written.
    bool down = false;
    // So many of the next writes take effect and their answers are lost.
    int loseWriteAnswers = 0;
    // So many of the next writes are lost on their way; the writer cannot tell this from a lost answer.
    int loseWrites = 0;
    // So many of the next reads and listings fail.
    int failReads = 0;
    // Called before each call, with the name of the call and its key.
    std::function<void(const char* call, const std::string& key)> beforeCall;

    int reads = 0;
    int writes = 0;

    Table table()
    {
        Table table;
        table.read = [this](const std::string& key) { return read(key); };
        table.list = [this](const std::string& prefix) { return list(prefix); };
        table.compareAndSet = [this](const std::string& key, const std::string& value, RowVersion expected,
                                  const WriterId& writer) { return write(key, value, expected, writer); };
        return table;
    }

    // The rows as they are, without a call being counted.
    std::map<std::string, TableRow> rows() const
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return m_rows;
    }

    void setRows(std::map<std::string, TableRow> rows)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_rows = std::move(rows);
    }

private:
    Result<std::optional<TableRow>> read(const std::string& key)
    {
        announce("read", key);
        std::lock_guard<std::mutex> lock(m_mutex);
        ++reads;
        if (down || take(failReads))
            return ErrorKind::PlatformUnavailable;
        const auto row = m_rows.find(key);
        if (row == m_rows.end())
            return std::optional<TableRow>();
        return std::optional<TableRow>(row->second);
    }

    Result<std::vector<TableRow>> list(const std::string& prefix)
    {
        announce("list", prefix);
        std::lock_guard<std::mutex> lock(m_mutex);
        ++reads;
        if (down || take(failReads))
            return ErrorKind::PlatformUnavailable;
        std::vector<TableRow> found;
        for (auto row = m_rows.lower_bound(prefix); row != m_rows.end(); ++row) {
            if (row->first.compare(0, prefix.size(), prefix) != 0)
                break;
            found.push_back(row->second);
        }
        return found;
    }

    WriteResult write(
        const std::string& key, const std::string& value, RowVersion expected, const WriterId& writer)
    {
        announce("write", key);
        std::lock_guard<std::mutex> lock(m_mutex);
        ++writes;
        if (down)
            return { WriteOutcome::NotApplied, RowVersion(0), std::nullopt };
        if (take(loseWrites))
            return { WriteOutcome::Unknown, RowVersion(0), std::nullopt };
        auto answer = apply(key, value, expected, writer);
        if (take(loseWriteAnswers))
            return { WriteOutcome::Unknown, RowVersion(0), std::nullopt };
        return answer;
    }

    WriteResult apply(
        const std::string& key, const std::string& value, RowVersion expected, const WriterId& writer)
    {
        const auto row = m_rows.find(key);
        const auto present = row == m_rows.end() ? RowVersion(0) : row->second.version;
        if (present != expected) {
            WriteResult conflict { WriteOutcome::Conflict, present, std::nullopt };
            if (row != m_rows.end())
                conflict.current = row->second;
            return conflict;
        }
        const auto version = present + RowVersion(1);
        m_rows[key] = { key, value, version, writer };
        return { WriteOutcome::Applied, version, std::nullopt };
    }

    void announce(const char* call, const std::string& key) const
    {
        // A copy, as the hook may replace itself.
        const auto hook = beforeCall;
        if (hook)
            hook(call, key);
    }

    static bool take(int& left)
    {
        if (left <= 0)
            return false;
        --left;
        return true;
    }

    mutable std::mutex m_mutex;
    std::map<std::string, TableRow> m_rows;
};

} // namespace almondscale::test
