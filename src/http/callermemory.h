#pragma once

#include "http/messagememory.h"

#include <asio/execution_context.hpp>

namespace lycheebay {

/// Bounds the memory that the callers of all listeners of an event loop together hold: requests
/// until their response, and responses until the caller has taken them. Unbounded until setLimit()
/// is called. Not thread-safe: use it on its event loop.
class CallerMemory final : public asio::execution_context::service, public MessageMemory
{
public:
    static asio::execution_context::id id;

    explicit CallerMemory(asio::execution_context &context);

private:
    void shutdown() noexcept override {}
};

} // namespace lycheebay
