#include "standins/platform/platformserver.h"

#include <cppunit/extensions/HelperMacros.h>
#include <httplib.h>

#include <thread>

using namespace lycheebay;
using namespace lycheebay::standins;
using nlohmann::json;

class PlatformServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformServerTest);
    CPPUNIT_TEST(retentionDropsTheOldestRecords);
    CPPUNIT_TEST(lostAnswerTakesEffect);
    CPPUNIT_TEST(downHasNoEffect);
    CPPUNIT_TEST(badFaultsChangeNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_context = std::make_unique<asio::io_context>(1);
        m_server = std::make_unique<PlatformServer>(*m_context, 400, PlatformFaults());
        CPPUNIT_ASSERT(m_server->listen({ "127.0.0.1", 0 }).ok());
        m_client = std::make_unique<httplib::Client>("127.0.0.1", m_server->port());
        m_thread = std::thread([this] { m_context->run(); });
    }

    void tearDown() override
    {
        m_context->stop();
        m_thread.join();
        m_client.reset();
        m_server.reset();
        m_context.reset();
    }

    /// Guards against a retention that renumbers offsets or hides that records were dropped.
    void retentionDropsTheOldestRecords()
    {
        setFaults({ { "retainRecords", 2 } });
        for (int n = 1; n <= 5; ++n)
            CPPUNIT_ASSERT_EQUAL(n, append("r" + std::to_string(n)));
        const auto dropped = m_client->Get("/streams/s/records?from=3&max=10");
        CPPUNIT_ASSERT_EQUAL(410, dropped->status);
        CPPUNIT_ASSERT_EQUAL(4, json::parse(dropped->body)["first"].get<int>());
        const json kept = read(4);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), kept["records"].size());
        CPPUNIT_ASSERT_EQUAL(std::string("r4"), kept["records"][0]["data"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(6, kept["next"].get<int>());
    }

    /// Guards against a lost answer whose append did not take effect, or that is still answered.
    void lostAnswerTakesEffect()
    {
        setFaults({ { "loseAnswers", 1 } });
        CPPUNIT_ASSERT(!post("lost"));
        CPPUNIT_ASSERT_EQUAL(2, append("second"));
        CPPUNIT_ASSERT_EQUAL(std::string("lost"), read(1)["records"][0]["data"].get<std::string>());
    }

    /// Guards against an outage during which appends still take effect.
    void downHasNoEffect()
    {
        setFaults({ { "down", true } });
        CPPUNIT_ASSERT(!post("x"));
        setFaults({ { "down", false } });
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), read(1)["records"].size());
    }

    /// Guards against a request that is refused but applied in part.
    void badFaultsChangeNothing()
    {
        const auto answer = m_client->Put("/faults", R"({"down":true,"typo":1})", "text/json");
        CPPUNIT_ASSERT_EQUAL(400, answer->status);
        CPPUNIT_ASSERT_EQUAL(1, append("x"));
    }

private:
    void setFaults(const json &faults)
    {
        const auto answer = m_client->Put("/faults", faults.dump(), "application/json");
        CPPUNIT_ASSERT(answer && answer->status == 200);
    }

    httplib::Result post(const std::string &data)
    {
        return m_client->Post("/streams/s/records", json{ { "data", data } }.dump(),
                              "application/json");
    }

    int append(const std::string &data)
    {
        const auto answer = post(data);
        CPPUNIT_ASSERT(answer && answer->status == 200);
        return json::parse(answer->body)["offset"].get<int>();
    }

    json read(int from)
    {
        const auto answer = m_client->Get("/streams/s/records?max=10&from=" + std::to_string(from));
        CPPUNIT_ASSERT(answer && answer->status == 200);
        return json::parse(answer->body);
    }

    std::unique_ptr<asio::io_context> m_context;
    std::unique_ptr<PlatformServer> m_server;
    std::unique_ptr<httplib::Client> m_client;
    std::thread m_thread;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformServerTest);
