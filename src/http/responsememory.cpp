#include "http/responsememory.h"

namespace lycheebay {

namespace {

constexpr std::size_t kDefaultLimit = 64UL << 20U;

} // namespace

asio::execution_context::id ResponseMemory::id;

ResponseMemory::ResponseMemory(asio::execution_context &context)
    : asio::execution_context::service(context)
    , MessageMemory(kDefaultLimit, SingleMessage::Revoked)
{}

} // namespace lycheebay
