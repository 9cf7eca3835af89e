#pragma once

#include "base/iclock.h"
#include "platform/iinstancelist.h"
#include "platform/iplatformlog.h"

#include <memory>

namespace lycheebay {

struct HttpPlatformSettings
{
    Address address;
    Duration connectTimeout = std::chrono::milliseconds(500);
    /// Bounds the time from the connection to the whole response.
    Duration responseTimeout = std::chrono::seconds(2);
    /// A read of one record of 8 MiB fits, also when JSON escapes double it.
    std::size_t maxResponseBytes = std::size_t(32) << 20;

    auto operator<=>(const HttpPlatformSettings &) const = default;
};

/// The platform over HTTP. Keeps a few connections open. Thread-safe; calls block.
///
/// A read has no effect on the platform, so read() and list() never return Unknown. Beyond the
/// errors of the interfaces: InvalidArgument for a stream name or data that cannot be sent, and
/// ResourceExhausted from read() for a response larger than maxResponseBytes.
class HttpPlatform final : public IPlatformLog, public IInstanceList
{
public:
    explicit HttpPlatform(HttpPlatformSettings settings);
    ~HttpPlatform() override;
    HttpPlatform(const HttpPlatform &) = delete;
    HttpPlatform &operator=(const HttpPlatform &) = delete;

    /// Sends `{"data": ...}`. \a data must be UTF-8.
    absl::StatusOr<std::uint64_t> append(std::string_view stream, std::string_view data) override;
    /// An OutOfRange error carries the first offset, see firstOffsetOf().
    absl::StatusOr<LogBatch> read(std::string_view stream, std::uint64_t from,
                                  std::size_t maxRecords) override;
    absl::StatusOr<std::vector<PlatformInstance>> list() override;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace lycheebay
