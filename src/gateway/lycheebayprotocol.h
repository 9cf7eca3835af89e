#pragma once

#include "gateway/itargetprotocol.h"

namespace lycheebay {

/// The Lycheebay header fields, documented in docs/callers.md. Immutable and thread-safe.
class LycheebayProtocol : public ITargetProtocol
{
public:
    RequestMetadata readRequestMetadata(const HttpRequest &request) const override;
    ResponseMetadata readResponseMetadata(const HttpResponse &response) const override;
    void addAttemptFields(HttpHeaders &headers, const std::string &targetId,
                          Duration remaining) const override;
    void setDeadline(HttpHeaders &headers, Duration remaining) const override;
};

} // namespace lycheebay
