#include "configuration/changeapplier.h"

#include "configuration/internal/bodyapplier.h"

#include <algorithm>

namespace lycheebay {

namespace {

template <typename T>
void dropOldest(std::vector<T> &items, std::size_t limit)
{
    if (items.size() > limit)
        items.erase(items.begin(), items.end() - static_cast<std::ptrdiff_t>(limit));
}

bool isKnownObject(const Estate &estate, const StringSet &stops, const std::string &key)
{
    const std::string_view text = key;
    const std::string_view name = text.substr(text.find(' ') + 1);
    if (text.starts_with("target "))
        return estate.findTarget(name) != nullptr;
    if (text.starts_with("domain "))
        return estate.findFailureDomain(name) != nullptr;
    return stops.contains(name);
}

/// Only domains, targets and stops have changes of their own that can conflict.
bool hasOwnChanges(std::string_view key)
{
    return key.starts_with("target ") || key.starts_with("domain ") || key.starts_with("stop ");
}

} // namespace

void ChangeApplier::apply(const LogRecord &record)
{
    m_state.m_nextOffset = record.offset + 1;
    if (record.offset < kFirstRevision)
        return;
    const absl::StatusOr<Change> change = decodeChange(record.data);
    ConfigurationHistory &history = m_state.m_history;
    if (change.ok() && history.snapshotTime == WallTime())
        history.snapshotTime = change->time;
    if (!change.ok()) {
        const absl::string_view fault = change.status().message();
        noteMalformed(record, { fault.data(), fault.size() });
    } else if (std::holds_alternative<SnapshotBody>(change->body)) {
        history.snapshotOffset = record.offset;
        history.snapshotTime = change->time;
        history.changesSinceSnapshot = 0;
    } else {
        judge(record, *change);
    }
}

void ChangeApplier::noteMalformed(const LogRecord &record, std::string_view fault)
{
    AuditEntry entry;
    entry.offset = record.offset;
    entry.kind = "malformed";
    entry.reason = std::string(fault);
    m_state.m_audit.push_back(std::move(entry));
    dropOldest(m_state.m_audit, kMaxAuditEntries);
    ++m_state.m_history.changesSinceSnapshot;
}

void ChangeApplier::judge(const LogRecord &record, const Change &change)
{
    const auto &seen = m_state.m_history.seen;
    const bool repeated = std::any_of(seen.begin(), seen.end(),
                                      [&](const SeenChange &item) { return item.id == change.id; });
    ++m_state.m_history.changesSinceSnapshot;
    if (repeated)
        return;
    Verdict verdict;
    if (change.baseRevision >= record.offset)
        verdict.reason = "the base revision is not before the change itself";
    else
        verdict = std::visit(BodyApplier(m_state, record.offset, change.baseRevision), change.body);
    if (verdict.accepted)
        accept(record, change.body, verdict);
    remember(record, change, verdict);
}

void ChangeApplier::accept(const LogRecord &record, const ChangeBody &body, Verdict &verdict)
{
    m_state.m_revision = record.offset;
    if (verdict.estate)
        m_state.m_estate = makeRef<const Estate>(std::move(*verdict.estate));
    if (verdict.roster)
        m_state.m_roster = std::move(*verdict.roster);
    if (!isOperatorChange(body))
        return;
    noteObjects(record.offset, verdict.objects);
    ConfigurationHistory &history = m_state.m_history;
    history.operatorChanges.push_back(record.offset);
    if (history.operatorChanges.size() > kMaxOperatorChanges) {
        history.forgottenOperatorChange = history.operatorChanges.front();
        history.operatorChanges.erase(history.operatorChanges.begin());
    }
}

void ChangeApplier::noteObjects(Revision offset, const std::vector<std::string> &keys)
{
    for (const std::string &key : keys) {
        if (hasOwnChanges(key))
            m_state.m_history.objectRevisions[key] = offset;
    }
    forgetRemovedObjects();
}

void ChangeApplier::forgetRemovedObjects()
{
    ConfigurationHistory &history = m_state.m_history;
    const Estate &estate = *m_state.m_estate;
    const EstateData &data = estate.data();
    const std::size_t known =
            data.targets.size() + data.failureDomains.size() + data.plannedStops.size();
    if (history.objectRevisions.size() <= known + kMaxRemovedObjects)
        return;
    StringSet stops;
    for (const PlannedStop &stop : data.plannedStops)
        stops.insert(stop.id);
    std::vector<std::pair<Revision, std::string>> removed;
    for (const auto &[key, revision] : history.objectRevisions) {
        if (!isKnownObject(estate, stops, key))
            removed.emplace_back(revision, key);
    }
    if (removed.size() <= kMaxRemovedObjects)
        return;
    std::sort(removed.begin(), removed.end());
    removed.resize(removed.size() - kMaxRemovedObjects);
    for (const auto &[revision, key] : removed) {
        history.forgottenObject = std::max(history.forgottenObject, revision);
        history.objectRevisions.erase(key);
    }
}

void ChangeApplier::remember(const LogRecord &record, const Change &change, const Verdict &verdict)
{
    std::vector<SeenChange> &seen = m_state.m_history.seen;
    seen.push_back({ change.id, record.offset, verdict.accepted, verdict.conflictsWith });
    dropOldest(seen, kMaxSeenChanges);
    AuditEntry entry;
    entry.offset = record.offset;
    entry.changeId = change.id;
    entry.author = change.author;
    entry.time = change.time;
    entry.baseRevision = change.baseRevision;
    entry.kind = changeKind(change.body);
    entry.summary = verdict.summary;
    entry.accepted = verdict.accepted;
    entry.reason = verdict.reason;
    m_state.m_audit.push_back(std::move(entry));
    dropOldest(m_state.m_audit, kMaxAuditEntries);
}

IntrusivePtr<const ConfigurationState> ChangeApplier::restore(const SnapshotBody &body)
{
    ConfigurationState state;
    state.m_revision = body.revision;
    state.m_nextOffset = body.nextOffset;
    state.m_estate = makeRef<const Estate>(body.estate);
    state.m_roster = body.roster;
    state.m_audit = body.audit;
    state.m_history = body.history;
    return makeRef<const ConfigurationState>(state);
}

SnapshotBody ChangeApplier::snapshotOf(const ConfigurationState &state)
{
    return { state.revision(), state.nextOffset(), state.estate()->data(),
             state.roster(),   state.audit(),      state.history() };
}

} // namespace lycheebay
