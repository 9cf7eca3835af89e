#include "gateway/relay/recordcompressor.h"

#include <zlib.h>

namespace lycheebay {

namespace {

// Shorter values fit into one packet without compression.
constexpr std::size_t kMinBytesToCompress = 1024;
// Limits the memory that a value from another instance can claim; far above the platform's largest
// record.
constexpr std::size_t kMaxUncompressedBytes = 16UL << 20U;

CompressedValue compressValue(const std::string &value)
{
    if (value.size() < kMinBytesToCompress)
        return { value, 0 };
    uLongf n = compressBound(value.size());
    CompressedValue compressed{ std::string(n, '\0'), value.size() };
    const int result =
            compress2(reinterpret_cast<Bytef *>(compressed.bytes.data()), &n,
                      reinterpret_cast<const Bytef *>(value.data()), value.size(), Z_BEST_SPEED);
    // compress2() can only fail for lack of memory; the value is then sent uncompressed.
    if (result != Z_OK || n >= value.size())
        return { value, 0 };
    compressed.bytes.resize(n);
    return compressed;
}

} // namespace

const CompressedValue &RecordCompressor::compress(const KeyedRecord &record)
{
    const auto cached = m_newest.find(record.key);
    if (cached != m_newest.end() && cached->second.position == record.position)
        return cached->second.value;
    Entry &entry = m_newest[record.key];
    entry = { record.position, compressValue(*record.value) };
    return entry.value;
}

absl::StatusOr<std::string> decompressValue(std::string_view bytes, std::size_t uncompressedSize)
{
    if (uncompressedSize == 0)
        return std::string(bytes);
    if (uncompressedSize > kMaxUncompressedBytes)
        return absl::InvalidArgumentError("uncompressed size of a record value exceeds the limit");
    std::string value(uncompressedSize, '\0');
    uLongf n = value.size();
    const int result = uncompress(reinterpret_cast<Bytef *>(value.data()), &n,
                                  reinterpret_cast<const Bytef *>(bytes.data()), bytes.size());
    if (result != Z_OK || n != uncompressedSize)
        return absl::InvalidArgumentError("record value cannot be decompressed to its stated size");
    return value;
}

} // namespace lycheebay
