#include "ctl/commands.h"
#include "transport/tests/rawpeer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace lycheebay {

class CommandsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CommandsTest);
    CPPUNIT_TEST(explainAsksForWhatWasTyped);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an explanation of another request than the one that the operator means.
    void explainAsksForWhatWasTyped()
    {
        const RawServer server({ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}" });
        Options options;
        options.entry = server.address();
        options.words = { "explain" };
        options.service = "a&tenant=b";
        options.method = "GET";
        options.path = "/x y+z/%41?q#f\r\nX: y";
        options.tenant = "\xc3\xbc";
        std::ostringstream out;
        std::ostringstream err;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(err.str(), int(ExitCode::Done),
                                     int(runCommand(options, { out, err })));
        const std::string request = server.lastRequest();
        CPPUNIT_ASSERT_EQUAL(std::string("GET /admin/v1/explain?service=a%26tenant%3Db&method=GET&"
                                         "path=%2Fx%20y%2Bz%2F%2541%3Fq%23f%0D%0AX%3A%20y&"
                                         "tenant=%C3%BC HTTP/1.1"),
                             request.substr(0, request.find("\r\n")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandsTest);

} // namespace lycheebay
