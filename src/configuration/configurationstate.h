#pragma once

#include "base/intrusiveptr.h"
#include "configuration/configurationhistory.h"
#include "configuration/configurationtypes.h"
#include "estate/estate.h"

#include <vector>

namespace lycheebay {

/// The configuration after applying the log up to an offset. Immutable, so every method is
/// thread-safe.
class ConfigurationState final : public RefCounted
{
public:
    /// Offset of the last accepted change; 0 before the first one.
    Revision revision() const { return m_revision; }
    /// Offset of the next record to apply.
    std::uint64_t nextOffset() const { return m_nextOffset; }
    /// Never null.
    const IntrusivePtr<const Estate> &estate() const { return m_estate; }
    /// Sorted by instance id; at most one incarnation of each.
    const std::vector<RosterMember> &roster() const { return m_roster; }
    /// Newest last; bounded.
    const std::vector<AuditEntry> &audit() const { return m_audit; }
    const ConfigurationHistory &history() const { return m_history; }

    friend bool operator==(const ConfigurationState &a, const ConfigurationState &b)
    {
        return a.m_revision == b.m_revision && a.m_nextOffset == b.m_nextOffset
               && *a.m_estate == *b.m_estate && a.m_roster == b.m_roster && a.m_audit == b.m_audit
               && a.m_history == b.m_history;
    }

private:
    friend class ChangeApplier;

    Revision m_revision = 0;
    std::uint64_t m_nextOffset = 0;
    IntrusivePtr<const Estate> m_estate = makeRef<const Estate>(EstateData{});
    std::vector<RosterMember> m_roster;
    std::vector<AuditEntry> m_audit;
    ConfigurationHistory m_history;
};

} // namespace lycheebay
