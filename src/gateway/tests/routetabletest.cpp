#include "gateway/routetable.h"
#include "base/seededrandom.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace lycheebay {

class RouteTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouteTableTest);
    CPPUNIT_TEST(longestPrefixOfTheHostWins);
    CPPUNIT_TEST(hostIsNormalized);
    CPPUNIT_TEST(servicesAreChosenByWeight);
    CPPUNIT_TEST_SUITE_END();

    static Route route(const std::string &name, const std::string &prefix)
    {
        Route it;
        it.name = name;
        it.pathPrefix = prefix;
        it.services = { { "s", 1 } };
        return it;
    }

    static std::string nameOf(const Route *it) { return it ? it->name : "none"; }

public:
    void longestPrefixOfTheHostWins()
    {
        GatewayConfiguration configuration;
        configuration.hosts = { { "a.example", { route("short", "/x/"), route("long", "/x/y/") } },
                                { "b.example", { route("other", "/") } } };
        const auto find = [&](const char *host, const char *path) {
            return nameOf(findRoute(configuration, host, path));
        };
        CPPUNIT_ASSERT_EQUAL(std::string("short"), find("a.example", "/x/1"));
        CPPUNIT_ASSERT_EQUAL(std::string("long"), find("a.example", "/x/y/1"));
        CPPUNIT_ASSERT_EQUAL(std::string("short"), find("a.example", "/x/yy"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), find("a.example", "/x"));
        CPPUNIT_ASSERT_EQUAL(std::string("other"), find("b.example", "/x/y/1"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), find("c.example", "/x/y/1"));
    }

    void hostIsNormalized()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("a.example"), normalizedHost("A.Example:8080"));
        CPPUNIT_ASSERT_EQUAL(std::string("a.example"), normalizedHost("a.example"));
    }

    // Fails if the traffic split does not follow the weights.
    void servicesAreChosenByWeight()
    {
        Route it = route("r", "/");
        it.services = { { "a", 90 }, { "b", 10 } };
        SeededRandom random(5);
        std::map<std::string, int> counts;
        for (int i = 0; i < 10'000; ++i)
            ++counts[chooseService(it, random).service];
        CPPUNIT_ASSERT(counts["b"] > 800 && counts["b"] < 1200);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);

} // namespace lycheebay
