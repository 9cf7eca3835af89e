#pragma once

#include "configuration/change.h"
#include "ctl/commands.h"

namespace lycheebay {

/// Publishes a change made against the entry's current revision, reports its verdict and waits
/// until it is in force everywhere. Blocks.
ExitCode publishBody(const Options &options, const AdminClient &client, ChangeBody body,
                     const Output &output);

/// As publishBody(), for a change made against \a baseRevision.
ExitCode publishAgainst(const Options &options, const AdminClient &client, ChangeBody body,
                        Revision baseRevision, const Output &output);

} // namespace lycheebay
