#pragma once

#include "configuration/change.h"
#include "configuration/configurationstate.h"
#include "platform/iplatformlog.h"

namespace lycheebay {

/// Revision 0 means "before the first change", so every reader ignores a record at offset 0.
inline constexpr Revision kFirstRevision = 1;

// Bounds of what a state, and so each snapshot, carries.
inline constexpr std::size_t kMaxAuditEntries = 512;
inline constexpr std::size_t kMaxSeenChanges = 4096;
inline constexpr std::size_t kMaxOperatorChanges = 4096;
/// Beyond the number of objects that exist.
inline constexpr std::size_t kMaxRemovedObjects = 1024;

/// The rule that applies records to a configuration, the same on every instance. Pure; not
/// thread-safe.
class ChangeApplier
{
public:
    explicit ChangeApplier(const ConfigurationState &start)
        : m_state(start)
    {}

    /// Applies one record. A malformed record is rejected and noted in the audit trail.
    /// Precondition: \a record is the next one after those applied before.
    void apply(const LogRecord &record);

    Revision nextOffset() const { return m_state.m_nextOffset; }

    /// Returns the state after the records applied so far.
    IntrusivePtr<const ConfigurationState> state() const
    {
        return makeRef<const ConfigurationState>(m_state);
    }

    /// Returns the state that a snapshot holds, before any later record.
    static IntrusivePtr<const ConfigurationState> restore(const SnapshotBody &body);
    /// Returns the body of a snapshot of \a state. Precondition: a record was applied to it.
    static SnapshotBody snapshotOf(const ConfigurationState &state);

private:
    struct Verdict;
    class BodyApplier;

    void judge(const LogRecord &record, const Change &change);
    void noteMalformed(const LogRecord &record, std::string_view fault);
    void remember(const LogRecord &record, const Change &change, const Verdict &verdict);
    void accept(const LogRecord &record, const ChangeBody &body, Verdict &verdict);
    void noteObjects(Revision offset, const std::vector<std::string> &keys);
    void forgetRemovedObjects();

    ConfigurationState m_state;
};

} // namespace lycheebay
