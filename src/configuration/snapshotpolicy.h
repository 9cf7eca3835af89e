#pragma once

#include "configuration/configurationstate.h"

#include <algorithm>
#include <string_view>
#include <vector>

namespace lycheebay {

/// Decides when the configuration is appended again as a snapshot. Pure and thread-safe.
class SnapshotPolicy
{
public:
    static constexpr std::uint64_t kChangesPerSnapshot = 200;
    /// A snapshot from further ahead than this was dated by a wrong clock.
    static constexpr std::chrono::minutes kMaxClockError{ 1 };

    /// \a retention: how long the platform keeps records.
    explicit SnapshotPolicy(Duration retention)
        : m_retention(retention)
    {}

    /// Tells whether a snapshot is due: after 200 changes, or at a third of the retention.
    bool isDue(const ConfigurationState &state, WallTime now) const
    {
        const ConfigurationHistory &history = state.history();
        if (state.nextOffset() == 0)
            return false;
        const auto age = now - history.snapshotTime;
        return history.changesSinceSnapshot >= kChangesPerSnapshot || age > m_retention / 3
               || age < -kMaxClockError;
    }

    /// Tells whether \a self is the one that appends it: the lowest of \a liveIds.
    static bool isAuthor(std::string_view self, const std::vector<std::string> &liveIds)
    {
        return std::none_of(liveIds.begin(), liveIds.end(),
                            [&](const std::string &id) { return id < self; });
    }

private:
    Duration m_retention;
};

} // namespace lycheebay
