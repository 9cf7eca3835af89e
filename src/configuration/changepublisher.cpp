#include "configuration/changepublisher.h"

#include "configuration/configurationpoller.h"

#include <algorithm>

namespace lycheebay {

std::optional<PublishReport> ChangePublisher::verdictOf(const std::string &id) const
{
    const auto state = m_follower.state();
    const auto &seen = state->history().seen;
    const auto it = std::find_if(seen.rbegin(), seen.rend(),
                                 [&](const SeenChange &change) { return change.id == id; });
    if (it == seen.rend())
        return std::nullopt;
    PublishReport report;
    report.outcome = it->accepted ? PublishOutcome::Accepted : PublishOutcome::Rejected;
    report.appendedAt = it->offset;
    report.conflictsWith = it->conflictsWith;
    for (const AuditEntry &entry : state->audit()) {
        if (entry.changeId == id)
            report.reason = entry.reason;
    }
    return report;
}

absl::StatusOr<PublishReport> ChangePublisher::publish(const Change &change, TimePoint deadline)
{
    const absl::StatusOr<std::string> record = encodeChange(change);
    if (!record.ok())
        return record.status();
    std::optional<Revision> appendedAt;
    bool mayBeAppended = false;
    absl::Status error = absl::UnavailableError("the deadline passed before the first attempt");
    while (m_clock.now() < deadline) {
        bool mayAppend = !appendedAt;
        if (mayBeAppended) {
            const auto poll = pollOnce(m_log, m_follower);
            if (const auto report = verdictOf(change.id))
                return *report;
            // Without the whole log the earlier append cannot be ruled out yet.
            mayAppend = mayAppend && poll.ok() && poll->caughtUp;
            error = poll.status();
        }
        if (mayAppend) {
            const absl::StatusOr<std::uint64_t> offset =
                    m_log.append(kConfigurationStream, *record);
            // Readers ignore the first offset of a stream, so the change is appended once more.
            if (offset.ok() && *offset >= kFirstRevision)
                appendedAt = *offset;
            mayBeAppended = mayBeAppended || offset.ok() || !absl::IsUnavailable(offset.status());
            error = offset.status();
            if (offset.ok())
                continue;
        }
        m_pause(kRetryPause);
    }
    if (appendedAt)
        return PublishReport{ PublishOutcome::Appended, *appendedAt, {}, {} };
    const absl::string_view message = error.message();
    if (mayBeAppended)
        return absl::UnknownError(message);
    return absl::UnavailableError(message);
}

} // namespace lycheebay
