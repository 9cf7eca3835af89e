#include "estate/sheet.h"
#include "estate/estate.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <fstream>
#include <sstream>

namespace lycheebay {

namespace {

const std::string kHeader = "lycheebay-sheet,1,7\n";

struct BadSheet
{
    std::string text;
    std::size_t line;
    std::size_t column;
    const char *message;
};

const std::vector<BadSheet> kBadSheets{
    { "", 0, 0, "empty" },
    { "region,sof\n", 1, 1, "first row" },
    { "lycheebay-sheet,2,0\n", 1, 2, "unknown sheet version" },
    { "lycheebay-sheet,1,-1\n", 1, 3, "not a number" },
    { "lycheebay-sheet,1,99999999999999999999\n", 1, 3, "not a number" },
    { "lycheebay-sheet,1\n", 1, 2, "3 or 4 fields" },
    { "lycheebay-sheet,1,3,4 x\n", 1, 4, "not a revision" },
    { kHeader + "city,sof\n", 2, 1, "unknown row kind" },
    { kHeader + "region\n", 2, 2, "has 2 fields" },
    { kHeader + "region,sof,x\n", 2, 3, "has 2 fields" },
    { kHeader + "region,\"sof\n", 2, 2, "quote" },
    { kHeader + "region,so\"f\n", 2, 2, "quote" },
    { kHeader + "region,\xd1\xee\xf4\n", 2, 1, "not UTF-8" },
    { kHeader + "region,\xc0\xaf\n", 2, 1, "not UTF-8" },
    { kHeader + "region,\xed\xa0\x80\n", 2, 1, "not UTF-8" },
    { kHeader + std::string("region,s\0f\n", 11), 2, 1, "NUL" },
    { std::string("\xff\xfel\0y\0", 6), 1, 1, "NUL" },
    { kHeader + "region," + std::string(5000, 'a') + "\n", 2, 2, "longer than 4096" },
    { kHeader + "region,sof\ndomain,sof-a,sof,off\n", 3, 4, "drained or active" },
    { kHeader + "region,sof\ndomain,sof-a,plv,active\n", 3, 3, "unknown region" },
    { kHeader + "service,k\nroute,k,*,/,maybe,1,\n", 3, 5, "idempotent" },
    { kHeader + "service,k\nroute,k,*,/,idempotent,one,\n", 3, 6, "not a number" },
    { kHeader + "stop,s,instance,e-1,2026-02-30T00:00:00Z,2026-12-04T00:00:00Z\n", 2, 5, "UTC" },
    { kHeader + "stop,s,host,e-1,2026-12-03T00:00:00Z,2026-12-04T00:00:00Z\n", 2, 3, "scope" },
    { std::string(kMaxSheetBytes + 1, '\n'), 0, 0, "8 MiB" },
};

std::string exampleText(const std::string &name)
{
    std::ifstream file(std::string(EXAMPLES_DIR) + "/" + name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

class SheetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SheetTest);
    CPPUNIT_TEST(rejectsBadSheets);
    CPPUNIT_TEST(collectsEveryFault);
    CPPUNIT_TEST(boundsTheFaultList);
    CPPUNIT_TEST(readsExamples);
    CPPUNIT_TEST(acceptsSpreadsheetLineEnds);
    CPPUNIT_TEST(randomSheetsRoundTrip);
    CPPUNIT_TEST(randomBytesNeverPassAsSheet);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a bad sheet that is taken in part, and against misplaced fault reports.
    void rejectsBadSheets()
    {
        for (const BadSheet &bad : kBadSheets) {
            const SheetReading reading = readSheet(bad.text);
            const std::string report = std::string(bad.message) + " in " + bad.text.substr(0, 80);
            CPPUNIT_ASSERT_MESSAGE(report, !reading.sheet && !reading.faults.empty());
            const SheetFault &fault = reading.faults.front();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(report, bad.line, fault.line);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(report, bad.column, fault.column);
            CPPUNIT_ASSERT_MESSAGE(fault.message,
                                   fault.message.find(bad.message) != std::string::npos);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(report, std::size_t(1), reading.faults.size());
        }
    }

    // Guards against a reader that stops at the first fault, such as an unclosed quote.
    void collectsEveryFault()
    {
        const SheetReading reading = readSheet(
                kHeader + "region,\"sof\n# comment\n\nregion,a b\nservice,k\nservice,k\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), reading.faults.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), reading.faults[0].line);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), reading.faults[1].line);
        CPPUNIT_ASSERT_EQUAL(std::size_t(7), reading.faults[2].line);
        CPPUNIT_ASSERT(absl::IsInvalidArgument(reading.status()));
    }

    void boundsTheFaultList()
    {
        std::string text = kHeader;
        for (int i = 0; i < 5000; ++i)
            text += "nonsense\n";
        CPPUNIT_ASSERT(readSheet(text).faults.size() <= 1001);
    }

    void readsExamples()
    {
        for (const std::string name : { "sofia.csv", "saddlery.csv" }) {
            const SheetReading reading = readSheet(exampleText(name));
            CPPUNIT_ASSERT_MESSAGE(std::string(reading.status().message()), reading.sheet);
            CPPUNIT_ASSERT_EQUAL(std::size_t(name == "sofia.csv" ? 36 : 33),
                                 reading.sheet->estate.targets.size());
            CPPUNIT_ASSERT(readSheet(writeSheet(*reading.sheet)).sheet == reading.sheet);
        }
    }

    // Guards against the byte order mark and line ends that spreadsheet programs write.
    void acceptsSpreadsheetLineEnds()
    {
        const SheetReading reading =
                readSheet("\xef\xbb\xbflycheebay-sheet,1,7,8 9\r\nregion,\"sof\"\r\nregion,plv");
        CPPUNIT_ASSERT_MESSAGE(std::string(reading.status().message()), reading.sheet);
        CPPUNIT_ASSERT((reading.sheet->supersedes == std::vector<std::uint64_t>{ 8, 9 }));
        CPPUNIT_ASSERT((reading.sheet->estate.regions == std::vector<std::string>{ "sof", "plv" }));
    }

    // Guards against values that change when a sheet is exported and read again.
    void randomSheetsRoundTrip()
    {
        CPPUNIT_ASSERT(rc::check("sheets round-trip", [](std::uint64_t base) {
            const WallTime epoch(std::chrono::milliseconds(1'700'000'000'000));
            Sheet sheet{ base, *rc::gen::arbitrary<std::vector<std::uint64_t>>(), {} };
            EstateData &data = sheet.estate;
            data.regions = { "r1", "r2" };
            data.failureDomains = { { "d1", "r1", *rc::gen::arbitrary<bool>() } };
            data.services = { "s" };
            const int targets = *rc::gen::inRange(0, 20);
            for (int i = 0; i < targets; ++i) {
                const int slots = *rc::gen::inRange(1, 10001);
                data.targets.push_back({ "t" + std::to_string(i),
                                         "s",
                                         "d1",
                                         { "127.0.0.1", std::uint16_t(i + 1) },
                                         slots,
                                         *rc::gen::inRange(1, slots + 1),
                                         250,
                                         *rc::gen::arbitrary<bool>() });
            }
            const auto prefix = *rc::gen::container<std::string>(rc::gen::inRange('!', '~'));
            data.routes = { { "s",
                              "*",
                              "/" + prefix.substr(0, 200),
                              *rc::gen::arbitrary<bool>(),
                              *rc::gen::inRange(1, 101),
                              { "r1", "r2" } } };
            const auto start = epoch + std::chrono::milliseconds(*rc::gen::inRange(0, 1 << 30));
            const std::chrono::milliseconds length(*rc::gen::inRange(1, 1 << 30));
            data.plannedStops = { { "p", StopScope::Instance, "e", start, start + length } };
            RC_ASSERT(validateEstate(data).empty());
            const SheetReading reading = readSheet(writeSheet(sheet));
            RC_ASSERT(reading.sheet.has_value());
            RC_ASSERT(*reading.sheet == sheet);
        }));
    }

    void randomBytesNeverPassAsSheet()
    {
        CPPUNIT_ASSERT(rc::check("damaged sheets give faults or a valid estate", [] {
            std::string text = exampleText("sofia.csv");
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            text[at] = *rc::gen::arbitrary<char>();
            const SheetReading reading = readSheet(text);
            RC_ASSERT(reading.sheet.has_value() == reading.faults.empty());
            RC_ASSERT(!reading.sheet || validateEstate(reading.sheet->estate).empty());
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SheetTest);

} // namespace lycheebay
