#include "http/messagememory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

namespace lycheebay {

class MessageMemoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MessageMemoryTest);
    CPPUNIT_TEST(largestIsRevokedFirst);
    CPPUNIT_TEST(sharesInUseAreRevokedLast);
    CPPUNIT_TEST(ordinaryMessagesOutliveLargeOnesInUse);
    CPPUNIT_TEST(singleMessageMayBeLarger);
    CPPUNIT_TEST(ownerMayDeleteARevokedShare);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t kMega = 1UL << 20U;

    class Memory final : public MessageMemory
    {
    public:
        using MessageMemory::MessageMemory;
    };

    /// A message that gives its memory up when it is asked for it.
    struct Message
    {
        explicit Message(MessageMemory &memory)
            : share(memory, [this] {
                isRevoked = true;
                share.resize(0);
            })
        {}

        bool isRevoked = false;
        MessageMemory::Share share;
    };

public:
    void largestIsRevokedFirst()
    {
        Memory memory(10 * kMega, MessageMemory::SingleMessage::Revoked);
        Message small(memory);
        Message large(memory);
        Message medium(memory);
        small.share.resize(kMega);
        large.share.resize(5 * kMega);
        medium.share.resize(4 * kMega);
        CPPUNIT_ASSERT(!large.isRevoked);
        small.share.resize(kMega + 1);
        CPPUNIT_ASSERT(large.isRevoked);
        CPPUNIT_ASSERT(!medium.isRevoked && !small.isRevoked);
        CPPUNIT_ASSERT_EQUAL(5 * kMega + 1, memory.usedBytes());
    }

    void sharesInUseAreRevokedLast()
    {
        Memory memory(10 * kMega, MessageMemory::SingleMessage::Revoked);
        Message running(memory);
        Message reading(memory);
        running.share.setInUse();
        running.share.resize(8 * kMega);
        reading.share.resize(2 * kMega);
        reading.share.resize(2 * kMega + 1);
        CPPUNIT_ASSERT(reading.isRevoked && !running.isRevoked);
    }

    // Guards against a crowd whose requests run and which so keeps all others out.
    void ordinaryMessagesOutliveLargeOnesInUse()
    {
        Memory memory(10 * kMega, MessageMemory::SingleMessage::Kept);
        Message first(memory);
        Message second(memory);
        Message ordinary(memory);
        for (Message *it : { &first, &second }) {
            it->share.setInUse();
            it->share.resize(5 * kMega);
        }
        ordinary.share.resize(1000);
        CPPUNIT_ASSERT(!ordinary.isRevoked);
        CPPUNIT_ASSERT(first.isRevoked != second.isRevoked);
    }

    // Guards against a request within the limits that is refused although there is no other.
    void singleMessageMayBeLarger()
    {
        Memory memory(10 * kMega, MessageMemory::SingleMessage::Kept);
        Message single(memory);
        Message ordinary(memory);
        single.share.resize(30 * kMega);
        ordinary.share.resize(1000);
        CPPUNIT_ASSERT(!single.isRevoked && !ordinary.isRevoked);
        Message other(memory);
        other.share.resize(2 * kMega);
        CPPUNIT_ASSERT(single.isRevoked && !other.isRevoked);
    }

    void ownerMayDeleteARevokedShare()
    {
        Memory memory(kMega, MessageMemory::SingleMessage::Revoked);
        std::unique_ptr<MessageMemory::Share> share;
        share = std::make_unique<MessageMemory::Share>(memory, [&] { share.reset(); });
        share->resize(2 * kMega);
        CPPUNIT_ASSERT(!share);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, memory.usedBytes());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageMemoryTest);

} // namespace lycheebay
