#include "blackboard/topic.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace lycheebay {

namespace {

class Number : public RefCounted
{
public:
    explicit Number(int value)
        : m_value(value)
        , m_check(~value)
    {}
    ~Number() override { m_check = 0; }
    bool intact() const { return m_check == ~m_value; }
    int value() const { return m_value; }

private:
    int m_value;
    int m_check;
};

} // namespace

class TopicTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TopicTest);
    CPPUNIT_TEST(readsNullBeforeTheFirstValue);
    CPPUNIT_TEST(readersNeverSeeAFreedValue);
    CPPUNIT_TEST(listenersSeeEveryValueInOrder);
    CPPUNIT_TEST_SUITE_END();

public:
    void readsNullBeforeTheFirstValue()
    {
        const Topic<Number> topic;
        CPPUNIT_ASSERT(!topic.read());
    }

    // Guards against a value that is freed while a reader takes its reference.
    void readersNeverSeeAFreedValue()
    {
        Topic<Number> topic;
        topic.publish(makeRef<const Number>(0));
        std::atomic<bool> done = false;
        std::atomic<bool> broken = false;
        std::vector<std::thread> readers;
        for (int i = 0; i < 4; ++i) {
            readers.emplace_back([&] {
                int last = 0;
                while (!done) {
                    const auto value = topic.read();
                    if (!value->intact() || value->value() < last)
                        broken = true;
                    last = value->value();
                }
            });
        }
        for (int i = 1; i <= 2000; ++i)
            topic.publish(makeRef<const Number>(i));
        done = true;
        for (std::thread &reader : readers)
            reader.join();
        CPPUNIT_ASSERT(!broken);
        CPPUNIT_ASSERT_EQUAL(2000, topic.read()->value());
    }

    void listenersSeeEveryValueInOrder()
    {
        Topic<Number> topic;
        std::vector<int> seen;
        topic.subscribe([&](const Topic<Number>::Value &value) { seen.push_back(value->value()); });
        topic.publish(makeRef<const Number>(1));
        topic.publish(makeRef<const Number>(2));
        CPPUNIT_ASSERT((seen == std::vector<int>{ 1, 2 }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TopicTest);

} // namespace lycheebay
