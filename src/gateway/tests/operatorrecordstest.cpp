#include "gateway/relay/operatorrecords.h"
#include "base/seededrandom.h"
#include "gateway/relay/recordcompressor.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lycheebay {

class OperatorRecordsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OperatorRecordsTest);
    CPPUNIT_TEST(olderRecordsAreIgnored);
    CPPUNIT_TEST(completeUpdateDeletesMissingKeys);
    CPPUNIT_TEST(deletionFoundByAMissingKeyIsPassedOn);
    CPPUNIT_TEST(deletionThatAListingSkipsIsPassedOn);
    CPPUNIT_TEST(recordThatWasDeletedDoesNotReturn);
    CPPUNIT_TEST(readAndReceivedRecordsConverge);
    CPPUNIT_TEST(valuesSurviveCompression);
    CPPUNIT_TEST(malformedCompressedValuesAreRejected);
    CPPUNIT_TEST_SUITE_END();

    const PositionPolicy m_policy;

    static LogPosition at(std::uint64_t offset) { return { 1, offset }; }

    static std::map<std::string, std::string> valuesOf(const OperatorRecordTable &table)
    {
        std::map<std::string, std::string> values;
        for (const KeyedRecord &it : table.recordsSince(0).records) {
            if (it.value)
                values[it.key] = *it.value;
        }
        return values;
    }

public:
    // Guards against a configuration that is reverted because a slow read ends after a newer update
    // arrived.
    void olderRecordsAreIgnored()
    {
        OperatorRecordTable table{ m_policy };
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                             table.apply({ at(8), false, { { "a", "2", at(7) } } }).size());
        CPPUNIT_ASSERT(table.apply({ at(6), false, { { "a", "1", at(5) } } }).empty());
        CPPUNIT_ASSERT(at(8) == table.position());
        CPPUNIT_ASSERT(table.recordsSince(table.revision()).records.empty());
    }

    // Guards against a drain that stays in force at an instance that missed its end, and against a
    // drain that is lost because an older list does not contain it.
    void completeUpdateDeletesMissingKeys()
    {
        OperatorRecordTable table{ m_policy };
        table.apply({ at(4), true, { { "a", "1", at(2) }, { "b", "1", at(3) } } });
        table.apply({ at(10), false, { { "c", "1", at(9) } } });
        const auto changed = table.apply({ at(8), true, { { "b", "1", at(3) } } });
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, changed.size());
        CPPUNIT_ASSERT(!changed[0].value);
        const std::map<std::string, std::string> expected{ { "b", "1" }, { "c", "1" } };
        CPPUNIT_ASSERT(expected == valuesOf(table));
    }

    // Guards against a drain that stays in force at the followers of an instance that missed its
    // end and found it missing later.
    void deletionFoundByAMissingKeyIsPassedOn()
    {
        OperatorRecordTable reader{ m_policy };
        OperatorRecordTable follower{ m_policy };
        reader.apply({ at(4), true, { { "a", "1", at(2) }, { "b", "1", at(3) } } });
        follower.apply(reader.recordsSince(0));
        const std::uint64_t sentRevision = reader.revision();
        reader.apply({ at(8), true, { { "b", "1", at(3) } } });
        follower.apply(reader.recordsSince(sentRevision));
        CPPUNIT_ASSERT(valuesOf(reader) == valuesOf(follower));
        // It can be written again.
        reader.apply({ at(9), false, { { "a", "2", at(8) } } });
        follower.apply(reader.recordsSince(sentRevision));
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, valuesOf(follower).size());
    }

    // Guards against a drain that stays at a follower that has read its begin, while its reader has
    // read neither that nor the end.
    void deletionThatAListingSkipsIsPassedOn()
    {
        OperatorRecordTable reader{ m_policy };
        OperatorRecordTable follower{ m_policy };
        reader.apply({ at(4), true, { { "b", "1", at(3) } } });
        follower.apply(reader.recordsSince(0));
        const std::uint64_t sentRevision = reader.revision();
        follower.apply({ at(5), false, { { "a", "1", at(4) } } });
        reader.apply({ at(8), true, { { "b", "1", at(3) }, { "c", "1", at(7) } } });
        const OperatorRecords update = reader.recordsSince(sentRevision);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, update.records.size());
        follower.apply(update);
        CPPUNIT_ASSERT(valuesOf(reader) == valuesOf(follower));
        CPPUNIT_ASSERT(reader.recordsSince(reader.revision()).records.empty());
        CPPUNIT_ASSERT(!reader.recordsSince(reader.revision()).complete);
    }

    // Guards against a drain that has ended and returns with an update that was on its way.
    void recordThatWasDeletedDoesNotReturn()
    {
        OperatorRecordTable table{ m_policy };
        table.apply({ at(8), true, { { "b", "1", at(7) } } });
        CPPUNIT_ASSERT(table.apply({ at(5), false, { { "a", "1", at(4) } } }).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                             table.apply({ at(9), false, { { "a", "1", at(8) } } }).size());
    }

    // Two instances read a log in random portions while the reader sends its records to the
    // follower.
    void readAndReceivedRecordsConverge()
    {
        SeededRandom random(11);
        for (int round = 0; round < 200; ++round) {
            std::vector<KeyedRecord> log;
            OperatorRecordTable reader{ m_policy };
            OperatorRecordTable follower{ m_policy };
            std::uint64_t sentRevision = 0;
            for (int step = 0; step < 40; ++step) {
                const std::string key = "k" + std::to_string(random.below(4));
                std::optional<std::string> value;
                if (random.below(3) > 0)
                    value = std::to_string(step);
                log.push_back({ key, value, at(log.size()) });
                if (random.below(2) == 0) {
                    const auto from = static_cast<std::ptrdiff_t>(reader.position().offset);
                    reader.apply({ at(log.size()), false, { log.begin() + from, log.end() } });
                }
                if (random.below(4) == 0) {
                    const auto from = static_cast<std::ptrdiff_t>(follower.position().offset);
                    follower.apply({ at(log.size()), false, { log.begin() + from, log.end() } });
                }
                if (random.below(8) == 0)
                    sentRevision = 0; // a new link
                if (random.below(2) == 0) {
                    follower.apply(reader.recordsSince(sentRevision));
                    sentRevision = reader.revision();
                }
            }
            const auto from = static_cast<std::ptrdiff_t>(reader.position().offset);
            reader.apply({ at(log.size()), false, { log.begin() + from, log.end() } });
            follower.apply(reader.recordsSince(sentRevision));
            CPPUNIT_ASSERT(valuesOf(reader) == valuesOf(follower));
            CPPUNIT_ASSERT(reader.position() == follower.position());
        }
    }

    void valuesSurviveCompression()
    {
        RecordCompressor compressor;
        std::string large;
        for (int i = 0; i < 1400; ++i)
            large +=
                    R"({"name":"r-)" + std::to_string(i) + R"(","kind":"safe","timeout":"2500ms"})";
        for (const std::string &value : { std::string(), std::string("short"), large }) {
            const CompressedValue compressed =
                    compressor.compress({ "a", value, at(value.size()) });
            const auto decompressed =
                    decompressValue(compressed.bytes, compressed.uncompressedSize);
            CPPUNIT_ASSERT(decompressed.ok());
            CPPUNIT_ASSERT(*decompressed == value);
        }
        CPPUNIT_ASSERT(compressor.compress({ "a", large, at(large.size()) }).bytes.size()
                       < large.size() / 5);
    }

    void malformedCompressedValuesAreRejected()
    {
        RecordCompressor compressor;
        const std::string large(4000, 'a');
        const CompressedValue compressed = compressor.compress({ "a", large, at(1) });
        CPPUNIT_ASSERT(!decompressValue("not zlib", 100).ok());
        CPPUNIT_ASSERT(!decompressValue(compressed.bytes, large.size() - 1).ok());
        CPPUNIT_ASSERT(!decompressValue(compressed.bytes, large.size() + 1).ok());
        CPPUNIT_ASSERT(!decompressValue(compressed.bytes, std::size_t{ 1 } << 40U).ok());
        CPPUNIT_ASSERT(!decompressValue(compressed.bytes.substr(0, 10), large.size()).ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorRecordsTest);

} // namespace lycheebay
