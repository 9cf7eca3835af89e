#include "gateway/relay/recordcompressor.h"

#include <zlib.h>

namespace lycheebay {

namespace {

// Shorter values fit into one packet anyway.
constexpr std::size_t kShortestCompressed = 1024;
// Bound for values of other instances, far above the largest record of a platform.
constexpr std::size_t kMaxInflatedBytes = 16UL << 20U;

PackedValue packValue(const std::string &value)
{
    if (value.size() < kShortestCompressed)
        return { value, 0 };
    uLongf n = compressBound(value.size());
    PackedValue packed{ std::string(n, '\0'), value.size() };
    const int result =
            compress2(reinterpret_cast<Bytef *>(packed.bytes.data()), &n,
                      reinterpret_cast<const Bytef *>(value.data()), value.size(), Z_BEST_SPEED);
    // The only possible fault is a lack of memory; the value goes as it is then.
    if (result != Z_OK || n >= value.size())
        return { value, 0 };
    packed.bytes.resize(n);
    return packed;
}

} // namespace

const PackedValue &RecordCompressor::pack(const KeyedRecord &record)
{
    const auto known = m_newest.find(record.key);
    if (known != m_newest.end() && known->second.offset == record.offset)
        return known->second.value;
    Entry &entry = m_newest[record.key];
    entry = { record.offset, packValue(*record.value) };
    return entry.value;
}

absl::StatusOr<std::string> unpackValue(std::string_view bytes, std::size_t inflatedBytes)
{
    if (inflatedBytes == 0)
        return std::string(bytes);
    if (inflatedBytes > kMaxInflatedBytes)
        return absl::InvalidArgumentError("packed value is too large");
    std::string value(inflatedBytes, '\0');
    uLongf n = value.size();
    const int result = uncompress(reinterpret_cast<Bytef *>(value.data()), &n,
                                  reinterpret_cast<const Bytef *>(bytes.data()), bytes.size());
    if (result != Z_OK || n != inflatedBytes)
        return absl::InvalidArgumentError("packed value cannot be inflated");
    return value;
}

} // namespace lycheebay
