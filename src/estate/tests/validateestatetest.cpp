#include "estate/difference.h"
#include "estate/estate.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

namespace lycheebay {

namespace {

constexpr WallTime kNoon(std::chrono::sys_days(std::chrono::year(2026) / 12 / 4)
                         + std::chrono::hours(12));

EstateData validData()
{
    EstateData data;
    data.regions = { "sof" };
    data.failureDomains = { { "sof-a", "sof" } };
    data.services = { "katalog" };
    data.targets = { { "kat-1", "katalog", "sof-a", { "127.0.0.1", 9000 }, 3, 1, 250, false } };
    data.routes = { { "katalog", "*", "/", true, 1, { "sof" } } };
    data.tenants = { { "lozenets", { "sof" } } };
    data.plannedStops = { { "s1", StopScope::Target, "kat-1", kNoon,
                            kNoon + std::chrono::hours(1) } };
    return data;
}

struct BadEstate
{
    const char *expected;
    std::function<void(EstateData &)> spoil;
};

const std::vector<BadEstate> kBadEstates{
    { "region name must", [](auto &data) { data.regions.push_back("so f"); } },
    { "region name must", [](auto &data) { data.regions.push_back(std::string(65, 'a')); } },
    { "region \"sof\" is listed twice", [](auto &data) { data.regions.push_back("sof"); } },
    { "unknown region", [](auto &data) { data.failureDomains[0].region = "plv"; } },
    { "unknown service", [](auto &data) { data.targets[0].service = "x"; } },
    { "unknown failure domain", [](auto &data) { data.targets[0].failureDomain = "x"; } },
    { "not an IPv4 address", [](auto &data) { data.targets[0].address.host = "sof"; } },
    { "port in", [](auto &data) { data.targets[0].address.port = 0; } },
    { "slots 0", [](auto &data) { data.targets[0].slots = 0; } },
    { "slots 10001", [](auto &data) { data.targets[0].slots = 10001; } },
    { "cold limit 0", [](auto &data) { data.targets[0].coldLimit = 0; } },
    { "cold limit 4", [](auto &data) { data.targets[0].coldLimit = 4; } },
    { "connections 0", [](auto &data) { data.targets[0].maxConnections = 0; } },
    { "belongs to another target",
      [](auto &data) {
          data.targets.push_back(data.targets[0]);
          data.targets[1].id = "kat-2";
      } },
    { "target \"kat-1\" is listed twice",
      [](auto &data) {
          data.targets.push_back(data.targets[0]);
          data.targets[1].address.port = 9001;
      } },
    { "unknown service", [](auto &data) { data.routes[0].service = "x"; } },
    { "method must", [](auto &data) { data.routes[0].method = "get"; } },
    { "path prefix must", [](auto &data) { data.routes[0].pathPrefix = "clubs"; } },
    { "weight 0", [](auto &data) { data.routes[0].weight = 0; } },
    { "weight 101", [](auto &data) { data.routes[0].weight = 101; } },
    { "unknown home region", [](auto &data) { data.routes[0].homeRegions = { "plv" }; } },
    { "route \"katalog * /\"", [](auto &data) { data.routes.push_back(data.routes[0]); } },
    { "unknown home region", [](auto &data) { data.tenants[0].homeRegions = { "plv" }; } },
    { "home region \"sof\" is listed twice",
      [](auto &data) {
          data.tenants[0].homeRegions = { "sof", "sof" };
      } },
    { "unknown target", [](auto &data) { data.plannedStops[0].name = "kat-9"; } },
    { "unknown failure domain",
      [](auto &data) { data.plannedStops[0].scope = StopScope::FailureDomain; } },
    { "end is not after start", [](auto &data) { data.plannedStops[0].end = kNoon; } },
    { "end is not in", [](auto &data) { data.plannedStops[0].end = WallTime::max(); } },
};

} // namespace

class ValidateEstateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ValidateEstateTest);
    CPPUNIT_TEST(reportsEachFaultOnce);
    CPPUNIT_TEST(differenceNamesEachObject);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a faulty estate that is accepted, and against faults that hide each other.
    void reportsEachFaultOnce()
    {
        CPPUNIT_ASSERT(validateEstate(validData()).empty());
        for (const BadEstate &bad : kBadEstates) {
            EstateData data = validData();
            bad.spoil(data);
            const auto faults = validateEstate(data);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bad.expected, std::size_t(1), faults.size());
            CPPUNIT_ASSERT_MESSAGE(faults[0],
                                   faults[0].starts_with(bad.expected)
                                           || faults[0].find(bad.expected) != std::string::npos);
        }
    }

    void differenceNamesEachObject()
    {
        const EstateData before = validData();
        EstateData after = before;
        after.failureDomains[0].drained = true;
        after.tenants.clear();
        after.services.push_back("spisaci");
        const std::vector<std::string> expected{
            "changed domain,sof-a,sof,active to domain,sof-a,sof,drained",
            "added service,spisaci",
            "removed tenant,lozenets,sof",
        };
        CPPUNIT_ASSERT(expected == describeDifference(before, after));
        CPPUNIT_ASSERT(describeDifference(before, before).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ValidateEstateTest);

} // namespace lycheebay
