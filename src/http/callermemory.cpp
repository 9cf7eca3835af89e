#include "http/callermemory.h"

#include <cstdint>

namespace lycheebay {

asio::execution_context::id CallerMemory::id;

CallerMemory::CallerMemory(asio::execution_context &context)
    : asio::execution_context::service(context)
    , MessageMemory(SIZE_MAX, SingleMessage::Kept)
{}

} // namespace lycheebay
