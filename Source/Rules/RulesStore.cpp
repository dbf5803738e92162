#include "Rules/RulesStore.h"

#include "Rules/RulesParser.h"

#include <algorithm>
#include <utility>

namespace almondscale {

namespace {

    // Bounds the retries after a concurrent head change or a lost write response.
    constexpr int maxApplyAttempts = 16;
    // Bounds the number of history rows read to rebase a proposal; older bases are rejected.
    constexpr std::size_t maxRebasedChanges = 1000;

    // Applies one proposal: reads, merges and writes until the outcome is known.
    class ApplyOperation {
    public:
        ApplyOperation(const Table& table, const RulesStore& store, const RulesProposal& proposal)
            : m_table(table)
            , m_store(store)
            , m_proposal(proposal)
        {
        }

        RulesApplyResult run()
        {
            m_result.errors = parseRules(m_proposal.text).errors;
            if (!m_result.errors.empty())
                return finish(RulesApplyOutcome::Invalid);
            for (int attempt = 0; attempt < maxApplyAttempts; ++attempt) {
                if (const auto outcome = tryOnce())
                    return finish(*outcome);
            }
            return finish(RulesApplyOutcome::NotApplied);
        }

    private:
        // Returns nothing if another attempt is needed.
        std::optional<RulesApplyOutcome> tryOnce()
        {
            const auto row = m_table.read(rulesHeadKey);
            if (!row || !loadHead(row.value()))
                return RulesApplyOutcome::NotApplied;
            const auto chain = m_store.history(m_proposal.base, maxRebasedChanges);
            if (!chain)
                return RulesApplyOutcome::NotApplied;
            // The head changed between the two reads.
            if (!chain.value().empty() && chain.value().front().version != m_head.version)
                return std::nullopt;
            return decide(chain.value());
        }

        bool loadHead(const std::optional<TableRow>& row)
        {
            m_head = {};
            m_headRow = row ? row->version : RowVersion(0);
            if (!row)
                return true;
            const auto head = decodeRulesHead(row->value);
            if (head)
                m_head = *head;
            m_result.version = m_head.version;
            return head.has_value();
        }

        std::optional<RulesApplyOutcome> decide(const std::vector<RulesChange>& chain)
        {
            for (const auto& change : chain) {
                if (change.change != m_proposal.change)
                    continue;
                m_result.version = change.version;
                return change.text == m_proposal.text ? RulesApplyOutcome::Applied
                                                      : RulesApplyOutcome::Merged;
            }
            // A write whose response was lost can still take effect as long as the head row has
            // the version that the write expects; once that has changed, the write is rejected.
            if (m_headRow != m_pendingHeadRow)
                m_headWritePending = false;
            if (!containsBase(chain))
                return RulesApplyOutcome::UnknownBase;
            const auto text = rebase(chain);
            if (!text)
                return RulesApplyOutcome::Clash;
            m_result.errors = parseRules(*text).errors;
            if (!m_result.errors.empty()) {
                m_result.winner = chain.front();
                m_result.mergedText = *text;
                return RulesApplyOutcome::Invalid;
            }
            if (!chain.empty() && chain.front().text == *text)
                return RulesApplyOutcome::Unchanged;
            return write(*text);
        }

        bool containsBase(const std::vector<RulesChange>& chain) const
        {
            if (m_proposal.base == RulesVersion(0))
                return chain.empty();
            return !chain.empty() && chain.back().version == m_proposal.base;
        }

        // Rebases the proposal onto each change since its base; returns nothing on a conflict.
        std::optional<std::string> rebase(const std::vector<RulesChange>& chain)
        {
            std::string base;
            std::string text = m_proposal.text;
            for (auto change = chain.rbegin(); change != chain.rend(); ++change) {
                if (change->version > m_proposal.base) {
                    auto merge = mergeRules(base, change->text, text);
                    if (!merge.ok()) {
                        m_result.winner = *change;
                        m_result.clashes = std::move(merge.clashes);
                        return std::nullopt;
                    }
                    text = std::move(merge.text);
                }
                base = change->text;
            }
            return text;
        }

        std::optional<RulesApplyOutcome> write(const std::string& text)
        {
            const RulesChange change { m_head.version + RulesVersion(1), m_proposal.change, m_head.change,
                m_proposal.author, m_proposal.unixSeconds, text };
            if (!writeChangeRow(change))
                return RulesApplyOutcome::NotApplied;
            return writeHead(change);
        }

        // Returns whether the row of the change is known to be stored.
        bool writeChangeRow(const RulesChange& change)
        {
            const auto key = rulesChangeKey(change.version, change.change);
            const auto value = encodeRulesChange(change);
            const auto written = m_table.compareAndSet(key, value, RowVersion(0), change.change);
            if (written.outcome == WriteOutcome::Applied)
                return true;
            if (written.outcome == WriteOutcome::NotApplied)
                return false;
            const auto row = m_table.read(key);
            return row.ok() && row.value() && row.value()->value == value;
        }

        std::optional<RulesApplyOutcome> writeHead(const RulesChange& change)
        {
            const auto value = encodeRulesHead({ change.version, change.change });
            const auto written = m_table.compareAndSet(rulesHeadKey, value, m_headRow, change.change);
            switch (written.outcome) {
            case WriteOutcome::Applied:
                m_result.version = change.version;
                return change.text == m_proposal.text ? RulesApplyOutcome::Applied
                                                      : RulesApplyOutcome::Merged;
            case WriteOutcome::NotApplied:
                return RulesApplyOutcome::NotApplied;
            case WriteOutcome::Unknown:
                m_headWritePending = true;
                m_pendingHeadRow = m_headRow;
                break;
            case WriteOutcome::Conflict:
                break;
            }
            return std::nullopt;
        }

        RulesApplyResult finish(RulesApplyOutcome outcome)
        {
            const bool refused
                = outcome != RulesApplyOutcome::Applied && outcome != RulesApplyOutcome::Merged;
            m_result.outcome = refused && m_headWritePending ? RulesApplyOutcome::Unknown : outcome;
            return std::move(m_result);
        }

        const Table& m_table;
        const RulesStore& m_store;
        const RulesProposal& m_proposal;
        RulesHead m_head;
        RowVersion m_headRow;
        // Whether a head write that expects row version m_pendingHeadRow may still take effect.
        bool m_headWritePending = false;
        RowVersion m_pendingHeadRow;
        RulesApplyResult m_result;
    };

} // namespace

RulesStore::RulesStore(Table table)
    : m_table(std::move(table))
{
}

RulesApplyResult RulesStore::apply(const RulesProposal& proposal)
{
    return ApplyOperation(m_table, *this, proposal).run();
}

Result<std::optional<RulesHead>> RulesStore::head() const
{
    const auto row = m_table.read(rulesHeadKey);
    if (!row)
        return row.error();
    if (!row.value())
        return std::optional<RulesHead>();
    const auto head = decodeRulesHead(row.value()->value);
    if (!head)
        return ErrorKind::RulesInvalid;
    return head;
}

Result<std::optional<RulesChange>> RulesStore::newerThan(RulesVersion known) const
{
    const auto current = head();
    if (!current)
        return current.error();
    if (!current.value() || current.value()->version <= known)
        return std::optional<RulesChange>();
    const auto change = readChange(current.value()->version, current.value()->change);
    if (!change)
        return change.error();
    return std::optional<RulesChange>(change.value());
}

Result<std::vector<RulesChange>> RulesStore::history(RulesVersion oldest, std::size_t limit) const
{
    std::vector<RulesChange> changes;
    const auto current = head();
    if (!current)
        return current.error();
    if (!current.value())
        return changes;
    auto next = *current.value();
    const auto last = std::max(oldest, RulesVersion(1));
    while (next.version >= last && changes.size() < limit) {
        const auto change = readChange(next.version, next.change);
        if (!change)
            return change.error();
        changes.push_back(change.value());
        next = { next.version - RulesVersion(1), change.value().parent };
    }
    return changes;
}

Result<RulesChange> RulesStore::readChange(RulesVersion version, const WriterId& change) const
{
    const auto row = m_table.read(rulesChangeKey(version, change));
    if (!row)
        return row.error();
    if (!row.value())
        return ErrorKind::RulesInvalid;
    const auto read = decodeRulesChange(row.value()->value);
    if (!read || read->version != version || read->change != change)
        return ErrorKind::RulesInvalid;
    return *read;
}

} // namespace almondscale
