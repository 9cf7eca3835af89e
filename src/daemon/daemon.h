#pragma once

#include "daemon/settings.h"

#include <absl/status/status.h>

#include <memory>

namespace lycheebay {

/// One entry instance: wires the parts and owns them. The methods are called by one thread.
class Daemon
{
public:
    /// Precondition: the settings passed readSettings().
    explicit Daemon(Settings settings);
    /// Stops without waiting for running requests.
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Opens the ports and begins to follow the configuration. Errors: Unavailable when an address
    /// cannot be bound.
    absl::Status start();

    /// Leaves the address answers, waits until nothing runs and no ticket of this incarnation can
    /// start a request, at most for the leave timeout, and takes this incarnation out of the
    /// roster.
    void leave();

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace lycheebay
