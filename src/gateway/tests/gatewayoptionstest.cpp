#include "gateway/gatewayoptions.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace lycheebay {

using namespace std::chrono_literals;

class GatewayOptionsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayOptionsTest);
    CPPUNIT_TEST(defaultsMatchTheDefaultsOfTheClasses);
    CPPUNIT_TEST(flagsTakePrecedenceOverTheEnvironment);
    CPPUNIT_TEST(errorsNameTheInvalidSetting);
    CPPUNIT_TEST(callerConnectionsFollowTheResources);
    CPPUNIT_TEST(responseMemoryFollowsTheResources);
    CPPUNIT_TEST(callerMemoryFollowsTheResources);
    CPPUNIT_TEST_SUITE_END();

    static GatewayOptionsRequest read(std::vector<std::string> arguments,
                                      const std::map<std::string, std::string> &environment = {})
    {
        arguments.insert(arguments.begin(), "gatewayd");
        return readGatewayOptions("gatewayd", arguments, [&](const char *name) -> const char * {
            const auto it = environment.find(name);
            return it == environment.end() ? nullptr : it->second.c_str();
        });
    }

public:
    void defaultsMatchTheDefaultsOfTheClasses()
    {
        const auto request = read({});
        CPPUNIT_ASSERT(request.faults.empty());
        CPPUNIT_ASSERT(request.options.pool == ServicePoolSettings());
        CPPUNIT_ASSERT_EQUAL(std::string("INFO"), request.options.logLevel);
    }

    void flagsTakePrecedenceOverTheEnvironment()
    {
        const auto request =
                read({ "--slot-share", "0.5" },
                     { { "LYCHEEBAY_SLOT_SHARE", "0.6" }, { "LYCHEEBAY_PROBE_WAIT_MS", "7" } });
        CPPUNIT_ASSERT(request.faults.empty());
        CPPUNIT_ASSERT_EQUAL(0.5, request.options.pool.slotShare);
        CPPUNIT_ASSERT(Duration(7ms) == request.options.pool.probeWait);
    }

    void errorsNameTheInvalidSetting()
    {
        const std::pair<const char *, const char *> cases[] = {
            { "--log-level", "LOUD" },
            { "--max-log-lines", "0" },
            { "--slot-share", "1.5" },
            { "--slot-share", "half" },
            { "--address-life-ms", "" },
            { "--load-freshness-ms", "0" },
            { "--max-caller-connections", "-1" },
        };
        for (const auto &[flag, value] : cases) {
            const auto request = read({ flag, value });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(flag, std::size_t{ 1 }, request.faults.size());
            CPPUNIT_ASSERT(request.faults[0].find(flag) != std::string::npos);
        }
        CPPUNIT_ASSERT(!read({ "--unknown", "1" }).faults.empty());
        CPPUNIT_ASSERT(!read({ "--help" }).information.empty());
    }

    // Guards against a fixed limit: under the load of callers that repeat at once, an instance with
    // 4,100 descriptors reset 7% of the requests at 2,000 connections.
    void callerConnectionsFollowTheResources()
    {
        constexpr std::size_t kMegabyte = 1UL << 20U;
        const std::size_t usual = callerConnectionLimit(4100, 160 * kMegabyte);
        CPPUNIT_ASSERT(usual > 3000 && usual + usual / 8 < 4100 - 400);
        CPPUNIT_ASSERT(callerConnectionLimit(8192, 512 * kMegabyte) > usual);
        CPPUNIT_ASSERT(callerConnectionLimit(100'000, 16 * kMegabyte) * 16 * 1024 < 8 * kMegabyte);
        CPPUNIT_ASSERT(callerConnectionLimit(300, kMegabyte) > 0);
        const std::size_t lookups = lookupConnectionLimit(4100);
        CPPUNIT_ASSERT(lookups >= 128 && usual + usual / 8 + lookups + lookups / 8 < 4100 - 300);
    }

    // Guards against a bound that leaves no room for the rest of the process, or for one response.
    void responseMemoryFollowsTheResources()
    {
        constexpr std::size_t kMegabyte = 1UL << 20U;
        CPPUNIT_ASSERT(responseMemoryLimit(260 * kMegabyte) < 260 * kMegabyte / 4);
        CPPUNIT_ASSERT(responseMemoryLimit(64 * kMegabyte) > 8 * kMegabyte);
    }

    // Guards against bounds that add up to more than a small instance has: all of them, a large
    // message that is copied while it grows, and the process itself.
    void callerMemoryFollowsTheResources()
    {
        constexpr std::size_t kMegabyte = 1UL << 20U;
        for (const std::size_t megabytes : { 160, 260, 512 }) {
            const std::size_t memory = megabytes * kMegabyte;
            const std::size_t callers = callerMemoryLimit(memory);
            CPPUNIT_ASSERT(2 * callers + responseMemoryLimit(memory) < memory - 30 * kMegabyte);
            CPPUNIT_ASSERT(callers > 300 * 100 * 1024);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayOptionsTest);

} // namespace lycheebay
