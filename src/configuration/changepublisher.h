#pragma once

#include "configuration/configurationfollower.h"

#include <functional>

namespace lycheebay {

enum class PublishOutcome {
    Accepted,
    Rejected, ///< a conflict or a fault; the reason says which
    Appended  ///< in the log, but it could not be read back by the deadline
};

struct PublishReport
{
    PublishOutcome outcome = PublishOutcome::Appended;
    Revision appendedAt = 0;
    std::string reason;
    /// Id of the change that it conflicts with; empty when there is none.
    std::string conflictsWith;

    auto operator<=>(const PublishReport &) const = default;
};

/// Appends changes to the configuration stream and learns their verdicts.
class ChangePublisher
{
public:
    using Pause = std::function<void(Duration)>;

    static constexpr std::chrono::milliseconds kRetryPause{ 100 };

    /// \a pause waits between attempts. The arguments outlive the publisher.
    ChangePublisher(IPlatformLog &log, ConfigurationFollower &follower, const IClock &clock,
                    Pause pause)
        : m_log(log)
        , m_follower(follower)
        , m_clock(clock)
        , m_pause(std::move(pause))
    {}

    /// Publishes \a change and returns its verdict. Precondition: its id is new. After a lost
    /// acknowledgement it looks for the id in the log before it appends again; when both appends
    /// took effect, the second one changes nothing. Errors: InvalidArgument for a change that no
    /// instance would take; Unavailable when the deadline passed and nothing was appended; Unknown
    /// when it passed and the change may still appear. Blocks until \a deadline, and for one call
    /// of the log beyond it. Thread-safe.
    absl::StatusOr<PublishReport> publish(const Change &change, TimePoint deadline);

    /// Returns the verdict of the change with that id once the follower has seen it. Thread-safe.
    std::optional<PublishReport> verdictOf(const std::string &id) const;

private:
    IPlatformLog &m_log;
    ConfigurationFollower &m_follower;
    const IClock &m_clock;
    Pause m_pause;
};

} // namespace lycheebay
