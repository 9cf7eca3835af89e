#include "configuration/internal/bodyapplier.h"

#include "estate/difference.h"

#include <fmt/format.h>

#include <algorithm>

namespace lycheebay {

namespace {

constexpr std::size_t kMaxSummaryLines = 3;
constexpr std::size_t kMaxSummaryBytes = 256;

std::string summarize(const EstateData &before, const EstateData &after)
{
    const std::vector<std::string> lines = describeDifference(before, after);
    std::string text = fmt::format("{} objects differ", lines.size());
    for (std::size_t i = 0; i < std::min(lines.size(), kMaxSummaryLines); ++i)
        text += "; " + lines[i];
    if (text.size() > kMaxSummaryBytes)
        text = text.substr(0, kMaxSummaryBytes) + "...";
    return text;
}

template <typename T>
auto findStop(T &stops, const std::string &id)
{
    return std::find_if(stops.begin(), stops.end(),
                        [&](const PlannedStop &stop) { return stop.id == id; });
}

} // namespace

ChangeApplier::Verdict ChangeApplier::BodyApplier::rejection(std::string reason,
                                                             std::string summary)
{
    Verdict verdict;
    verdict.reason = std::move(reason);
    verdict.summary = std::move(summary);
    return verdict;
}

std::optional<ChangeApplier::Verdict>
ChangeApplier::BodyApplier::conflict(const std::string &key) const
{
    const auto &objects = m_state.history().objectRevisions;
    const auto it = objects.find(key);
    if (it == objects.end() || it->second <= m_base)
        return std::nullopt;
    return conflictWith(it->second, key);
}

ChangeApplier::Verdict ChangeApplier::BodyApplier::conflictWith(Revision offset,
                                                                std::string summary) const
{
    const auto &seen = m_state.history().seen;
    const auto it = std::find_if(seen.begin(), seen.end(),
                                 [&](const SeenChange &change) { return change.offset == offset; });
    Verdict verdict;
    verdict.summary = std::move(summary);
    verdict.conflictsWith = it == seen.end() ? std::string() : it->id;
    verdict.reason = fmt::format("conflicts with change {} at {}",
                                 it == seen.end() ? "(forgotten)" : it->id, offset);
    return verdict;
}

ChangeApplier::Verdict ChangeApplier::BodyApplier::acceptEstate(EstateData data,
                                                                std::string summary) const
{
    Verdict verdict;
    verdict.summary = std::move(summary);
    const std::vector<std::string> faults = validateEstate(data);
    if (!faults.empty()) {
        verdict.reason = faults.front();
        return verdict;
    }
    verdict.accepted = true;
    verdict.objects = changedObjects(m_state.estate()->data(), data);
    verdict.estate = std::move(data);
    return verdict;
}

ChangeApplier::Verdict ChangeApplier::BodyApplier::acceptObject(EstateData data, std::string key,
                                                                std::string summary)
{
    Verdict verdict;
    verdict.accepted = true;
    verdict.summary = std::move(summary);
    // A drain that finds the object drained still counts: a restore from before it is a conflict.
    verdict.objects = { std::move(key) };
    verdict.estate = std::move(data);
    return verdict;
}

ChangeApplier::Verdict ChangeApplier::BodyApplier::operator()(const SheetBody &body) const
{
    const ConfigurationHistory &history = m_state.history();
    std::string summary = summarize(m_state.estate()->data(), body.estate);
    if (m_base < history.forgottenOperatorChange) {
        Verdict verdict = conflictWith(history.forgottenOperatorChange, std::move(summary));
        verdict.reason += "; the base revision is too old, export the sheet again";
        return verdict;
    }
    for (const Revision revision : history.operatorChanges) {
        const bool superseded = std::find(body.supersedes.begin(), body.supersedes.end(), revision)
                                != body.supersedes.end();
        if (revision > m_base && !superseded)
            return conflictWith(revision, std::move(summary));
    }
    return acceptEstate(body.estate, std::move(summary));
}

ChangeApplier::Verdict ChangeApplier::BodyApplier::setDomain(const std::string &name,
                                                             bool drained) const
{
    const std::string key = "domain " + name;
    if (auto rejection = conflict(key))
        return *rejection;
    EstateData data = m_state.estate()->data();
    const auto it = std::find_if(data.failureDomains.begin(), data.failureDomains.end(),
                                 [&](const FailureDomain &domain) { return domain.name == name; });
    if (it == data.failureDomains.end())
        return rejection("unknown failure domain", key);
    it->drained = drained;
    return acceptObject(std::move(data), key, (drained ? "drain " : "restore ") + key);
}

ChangeApplier::Verdict ChangeApplier::BodyApplier::setTarget(const std::string &id,
                                                             bool drained) const
{
    const std::string key = "target " + id;
    if (auto rejection = conflict(key))
        return *rejection;
    EstateData data = m_state.estate()->data();
    const auto it = std::find_if(data.targets.begin(), data.targets.end(),
                                 [&](const Target &target) { return target.id == id; });
    if (it == data.targets.end())
        return rejection("unknown target", key);
    it->drained = drained;
    return acceptObject(std::move(data), key, (drained ? "drain " : "restore ") + key);
}

ChangeApplier::Verdict ChangeApplier::BodyApplier::operator()(const AddStopBody &body) const
{
    const std::string key = "stop " + body.stop.id;
    if (auto rejection = conflict(key))
        return *rejection;
    if (m_base < m_state.history().forgottenObject)
        return rejection("the base revision is too old", key);
    EstateData data = m_state.estate()->data();
    data.plannedStops.push_back(body.stop);
    return acceptEstate(std::move(data), "add " + key + " of " + body.stop.name);
}

ChangeApplier::Verdict ChangeApplier::BodyApplier::operator()(const RemoveStopBody &body) const
{
    const std::string key = "stop " + body.id;
    if (auto rejection = conflict(key))
        return *rejection;
    EstateData data = m_state.estate()->data();
    const auto it = findStop(data.plannedStops, body.id);
    if (it == data.plannedStops.end())
        return rejection("unknown planned stop", key);
    data.plannedStops.erase(it);
    return acceptObject(std::move(data), key, "remove " + key);
}

ChangeApplier::Verdict ChangeApplier::BodyApplier::operator()(const JoinBody &body) const
{
    std::vector<RosterMember> roster = m_state.roster();
    std::erase_if(roster, [&](const RosterMember &member) {
        return member.instanceId == body.member.instanceId;
    });
    roster.push_back(body.member);
    roster.back().joinedAt = m_offset;
    std::sort(roster.begin(), roster.end());
    Verdict verdict;
    verdict.accepted = true;
    verdict.summary =
            fmt::format("join {} incarnation {}", body.member.instanceId, body.member.incarnation);
    verdict.roster = std::move(roster);
    return verdict;
}

ChangeApplier::Verdict ChangeApplier::BodyApplier::operator()(const LeaveBody &body) const
{
    std::vector<RosterMember> roster = m_state.roster();
    const std::size_t removed = std::erase_if(roster, [&](const RosterMember &member) {
        return member.instanceId == body.instanceId && member.incarnation == body.incarnation;
    });
    Verdict verdict;
    verdict.accepted = removed > 0;
    verdict.summary = fmt::format("leave {} incarnation {}", body.instanceId, body.incarnation);
    if (verdict.accepted)
        verdict.roster = std::move(roster);
    else
        verdict.reason = "this incarnation is not in the roster";
    return verdict;
}

ChangeApplier::Verdict ChangeApplier::BodyApplier::operator()(const SnapshotBody &) const
{
    // ChangeApplier handles snapshots itself: they change no configuration.
    return {};
}

} // namespace lycheebay
