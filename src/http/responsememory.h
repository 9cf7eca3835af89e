#pragma once

#include "http/messagememory.h"

#include <asio/execution_context.hpp>

namespace lycheebay {

/// Bounds the memory that all client connections of an event loop together hold for responses that
/// are not complete. Not thread-safe: use it on its event loop.
class ResponseMemory final : public asio::execution_context::service, public MessageMemory
{
public:
    static asio::execution_context::id id;

    explicit ResponseMemory(asio::execution_context &context);

private:
    void shutdown() noexcept override {}
};

} // namespace lycheebay
