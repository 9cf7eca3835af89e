#include "ctl/adminclient.h"
#include "transport/tests/rawpeer.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lycheebay {

class AdminClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdminClientTest);
    CPPUNIT_TEST(responsesAreRead);
    CPPUNIT_TEST(malformedResponsesAreUnknown);
    CPPUNIT_TEST(endlessResponseEnds);
    CPPUNIT_TEST(refusedConnectionIsUnavailable);
    CPPUNIT_TEST_SUITE_END();

public:
    void responsesAreRead()
    {
        const std::string answer = R"({"offset":7,"accepted":true,"reason":"",)"
                                   R"("conflictsWith":"","difference":["a"]})";
        const RawServer server({ "HTTP/1.1 200 OK\r\nContent-Length: "
                                         + std::to_string(answer.size()) + "\r\n\r\n" + answer,
                                 "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n" });
        const AdminClient client(server.address());
        const auto published = client.publish("{}", false);
        CPPUNIT_ASSERT(published.ok());
        CPPUNIT_ASSERT((*published == PublishAnswer{ 7, true, "", "", { "a" } }));
        CPPUNIT_ASSERT(server.lastRequest().starts_with("POST /admin/v1/changes HTTP/1.1\r\n"));
        CPPUNIT_ASSERT(absl::IsNotFound(client.get("/none").status()));
    }

    // Guards against a change being published again, or taken for published, because of bytes that
    // are no response.
    void malformedResponsesAreUnknown()
    {
        const std::string end = "Content-Length: 0\r\n\r\n";
        for (const std::string &it : {
                     "HTTP/1.1 000 Text\r\n" + end,
                     "HTTP/1.1 099 Text\r\n" + end,
                     "HTTP/1.1 404 No\r\nX Y: z\r\n" + end,
                     "HTTP/1.1 503 No\r\nContent-Length : 0\r\n" + end,
                     "HTTP/3.0 404 No\r\n" + end,
                     std::string("HTTP/1.1 404 No\r\nContent-Length: 4\r\n\r\nab"),
                     std::string("HTTP/1.1 200 "),
             }) {
            const RawServer server({ it });
            const AdminClient client(server.address());
            CPPUNIT_ASSERT_MESSAGE(it, absl::IsUnknown(client.publish("{}", false).status()));
        }
    }

    void endlessResponseEnds()
    {
        const RawServer server({ "HTTP/1.1 200 " + std::string(8UL << 20U, 'x') });
        const AdminClient client(server.address());
        CPPUNIT_ASSERT(absl::IsUnknown(client.get("/").status()));
    }

    void refusedConnectionIsUnavailable()
    {
        Address closed;
        {
            const RawServer server(std::vector<std::string>{});
            closed = server.address();
        }
        const AdminClient client(closed);
        CPPUNIT_ASSERT(absl::IsUnavailable(client.publish("{}", false).status()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdminClientTest);

} // namespace lycheebay
