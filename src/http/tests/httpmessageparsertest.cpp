#include "http/httpmessageparser.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace CppUnit {

template <>
struct assertion_traits<lycheebay::HttpMessageParser::State>
{
    static bool equal(lycheebay::HttpMessageParser::State a, lycheebay::HttpMessageParser::State b)
    {
        return a == b;
    }
    static std::string toString(lycheebay::HttpMessageParser::State it)
    {
        return std::to_string(static_cast<int>(it));
    }
};

} // namespace CppUnit

namespace lycheebay {

using namespace std::string_literals;

using Parser = HttpMessageParser;

class HttpMessageParserTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpMessageParserTest);
    CPPUNIT_TEST(readsARequestInPieces);
    CPPUNIT_TEST(leavesTheNextMessageUnread);
    CPPUNIT_TEST(decodesChunks);
    CPPUNIT_TEST(responseWithoutLengthEndsWithItsConnection);
    CPPUNIT_TEST(rejectsBadMessages);
    CPPUNIT_TEST(rejectsStatusOutsideTheRange);
    CPPUNIT_TEST(rejectsUnclearFraming);
    CPPUNIT_TEST(rejectsMalformedHeads);
    CPPUNIT_TEST(rejectsMalformedChunks);
    CPPUNIT_TEST(readsAResponseInPieces);
    CPPUNIT_TEST(ignoresEmptyLinesBeforeARequest);
    CPPUNIT_TEST(rejectsRequestsThatAreNotServed);
    CPPUNIT_TEST(boundsHeadAndBody);
    CPPUNIT_TEST_SUITE_END();

    /// Returns the state after a response, read as a whole, whose connection then ended.
    static Parser::State stateAfter(const std::string &response)
    {
        Parser parser(Parser::Kind::Response);
        parser.feed(response);
        if (parser.state() == Parser::State::Incomplete)
            parser.finish();
        return parser.state();
    }

public:
    void readsARequestInPieces()
    {
        const std::string text = "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nX-One: 1\r\n"
                                 "Content-Length: 3\r\n\r\nxyz";
        Parser parser(Parser::Kind::Request);
        for (const char it : text) {
            CPPUNIT_ASSERT_EQUAL(Parser::State::Incomplete, parser.state());
            CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, parser.feed(std::string(1, it)));
        }
        CPPUNIT_ASSERT_EQUAL(Parser::State::Complete, parser.state());
        const HttpRequest request = parser.takeRequest();
        const HttpRequest expected{
            "POST",
            "/a/b?c=d",
            { { "Host", "h" }, { "X-One", "1" }, { "Content-Length", "3" } },
            "xyz"
        };
        CPPUNIT_ASSERT(expected == request);
    }

    // Guards against a second answer on a connection being taken for a part of the first.
    void leavesTheNextMessageUnread()
    {
        const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        const std::string second = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
        Parser parser(Parser::Kind::Response);
        CPPUNIT_ASSERT_EQUAL(first.size(), parser.feed(first + second));
        CPPUNIT_ASSERT_EQUAL(Parser::State::Complete, parser.state());
        CPPUNIT_ASSERT(parser.isKeepAlive());
        parser.restart();
        CPPUNIT_ASSERT_EQUAL(second.size(), parser.feed(second));
        CPPUNIT_ASSERT_EQUAL(500, parser.takeResponse().status);
    }

    void decodesChunks()
    {
        Parser parser(Parser::Kind::Request);
        parser.feed("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(Parser::State::Complete, parser.state());
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), parser.takeRequest().body);
    }

    void responseWithoutLengthEndsWithItsConnection()
    {
        Parser parser(Parser::Kind::Response);
        parser.feed("HTTP/1.1 200 OK\r\nX: y\r\n\r\nall of it");
        CPPUNIT_ASSERT_EQUAL(Parser::State::Incomplete, parser.state());
        parser.finish();
        CPPUNIT_ASSERT_EQUAL(Parser::State::Complete, parser.state());
        CPPUNIT_ASSERT(!parser.isKeepAlive());
        CPPUNIT_ASSERT_EQUAL(std::string("all of it"), parser.takeResponse().body);
    }

    // Guards against smuggling and against bytes that are no answer being passed on.
    void rejectsBadMessages()
    {
        const char *const requests[] = {
            "no request at all\r\n\r\n",
            "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n",
            "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
            "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
            "GET / HTTP/1.1\r\nHost h\r\n\r\n",
        };
        for (const char *it : requests) {
            Parser parser(Parser::Kind::Request);
            parser.feed(it);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it, Parser::State::Malformed, parser.state());
        }
        Parser response(Parser::Kind::Response);
        response.feed("\x01\x02garbage that is no response\r\n");
        CPPUNIT_ASSERT_EQUAL(Parser::State::Malformed, response.state());
        Parser cut(Parser::Kind::Response);
        cut.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort");
        cut.finish();
        CPPUNIT_ASSERT_EQUAL(Parser::State::Malformed, cut.state());
    }

    // Guards against a status that HTTP does not define being passed on to a caller.
    void rejectsStatusOutsideTheRange()
    {
        for (const char *it :
             { "000", "00", "0", "099", "20", "600", "999", "2000", "-20", "2xx", "+20", "" }) {
            const std::string line = "HTTP/1.1 " + std::string(it) + " Text\r\n";
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it, Parser::State::Malformed,
                                         stateAfter(line + "Content-Length: 2\r\n\r\nok"));
        }
        for (const char *it : { "200", "599" }) {
            const std::string line = "HTTP/1.1 " + std::string(it) + " Text\r\n";
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it, Parser::State::Complete,
                                         stateAfter(line + "Content-Length: 2\r\n\r\nok"));
        }
    }

    // Guards against a body that is cut at the wrong place, or passed on in a coding that nothing
    // in the message names any more.
    void rejectsUnclearFraming()
    {
        const std::string chunks = "\r\n2\r\nok\r\n0\r\n\r\n";
        for (const char *it : {
                     "Transfer-Encoding: gzip\r\n\r\nok",
                     "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
                     "Content-Length: 2\r\nTransfer-Encoding: gzip\r\n\r\nok",
                     "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
                     "Content-Length: 2, 2\r\n\r\nok",
                     "Content-Length: +2\r\n\r\nok",
                     "Content-Length: 0x2\r\n\r\nok",
                     "Content-Length:\r\n\r\nok",
             })
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it, Parser::State::Malformed,
                                         stateAfter(std::string("HTTP/1.1 200 OK\r\n") + it));
        for (const char *it : {
                     "Transfer-Encoding: gzip, chunked\r\n",
                     "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
                     "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                     "Transfer-Encoding: chunked, chunked\r\n",
                     "Transfer-Encoding: xchunked\r\n",
                     "Transfer-Encoding: chunked\r\nContent-Length: 12\r\n",
             })
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    it, Parser::State::Malformed,
                    stateAfter(std::string("HTTP/1.1 200 OK\r\n") + it + chunks));
        CPPUNIT_ASSERT_EQUAL(
                Parser::State::Complete,
                stateAfter("HTTP/1.1 200 OK\r\ntransfer-encoding: CHUNKED\r\n" + chunks));
    }

    // Guards against a line being passed on that its receiver reads in another way, or a body
    // that is cut at the wrong place.
    void rejectsMalformedHeads()
    {
        const std::string end = "Content-Length: 2\r\n\r\nok";
        for (const std::string &it : {
                     std::string("HTTP/3.0 200 OK\r\n"),
                     std::string("HTTP/2.0 200 OK\r\n"),
                     std::string("HTTP/0.9 200 OK\r\n"),
                     std::string("HTTP/11 200 OK\r\n"),
                     std::string("http/1.1 200 OK\r\n"),
                     std::string("HTTP/1.1 0200 OK\r\n"),
                     std::string("HTTP/1.1  200 OK\r\n"),
                     std::string("HTTP/1.1 200 O\x01K\r\n"),
                     std::string("\r\nHTTP/1.1 200 OK\r\n"),
                     std::string("HTTP/1.1 101 Switching Protocols\r\n"),
             })
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it, Parser::State::Malformed, stateAfter(it + end));
        for (const std::string &it : {
                     "X Y: z"s,
                     "X : z"s,
                     "Content-Length : 2"s,
                     " X: z"s,
                     "X\tY: z"s,
                     "X\x01: z"s,
                     "X\x7f: z"s,
                     "X\0Y: z"s,
                     "X\xe9: z"s,
                     ": z"s,
                     "X"s,
                     "X(y): z"s,
                     "X: a\x01"s,
                     "X: a\0"s,
                     "X: a\x7f"s,
                     "X: a\rb"s,
             }) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it, Parser::State::Malformed,
                                         stateAfter("HTTP/1.1 200 OK\r\n" + it + "\r\n" + end));
            Parser request(Parser::Kind::Request);
            request.feed("POST / HTTP/1.1\r\n" + it + "\r\n" + end);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it, Parser::State::Malformed, request.state());
        }
        for (const std::string &it : { "X:"s, "X:  a b\t "s, "x-Y_z.1!: \xe9"s })
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it, Parser::State::Complete,
                                         stateAfter("HTTP/1.1 200 OK\r\n" + it + "\r\n" + end));
    }

    void rejectsMalformedChunks()
    {
        const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::string end = "0\r\n\r\n";
        for (const std::string &it : {
                     "4\r\ndataXX" + end,
                     "4\r\ndata\n" + end,
                     "4\r\ndata" + end,
                     "4\r\ndata!\r\n" + end,
                     "0x4\r\ndata\r\n" + end,
                     "+4\r\ndata\r\n" + end,
                     "-4\r\ndata\r\n" + end,
                     "4 4\r\ndata\r\n" + end,
                     "\r\ndata\r\n" + end,
                     "10000000000000004\r\ndata\r\n" + end,
                     "4\r\ndata\r\n0\r\nX Y: z\r\n\r\n"s,
                     "4\r\ndata\r\n0\r\nContent-Length: 4\r\n\r\n"s,
                     "4\r\ndata\r\n"s,
                     "4\r\ndata\r\n0\r\n"s,
             })
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it, Parser::State::Malformed, stateAfter(head + it));
        for (const std::string &it : { "04;a;b=\"c\"\r\ndata\r\n00\r\nX: y\r\n\r\n"s })
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it, Parser::State::Complete, stateAfter(head + it));
    }

    // Guards against bytes that are lost or read twice where a piece ends within a line.
    void readsAResponseInPieces()
    {
        const std::string text = "HTTP/1.1 100 Continue\r\nX: 1\r\n\r\nHTTP/1.1 200 OK\r\n"
                                 "X-One: 1\r\nX-Two: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
                                 "3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nX-Three: 3\r\n\r\n";
        for (std::size_t length = 1; length <= text.size(); ++length) {
            Parser parser(Parser::Kind::Response);
            std::string_view rest = text;
            while (!rest.empty()) {
                CPPUNIT_ASSERT_EQUAL(Parser::State::Incomplete, parser.state());
                const std::string_view piece = rest.substr(0, length);
                CPPUNIT_ASSERT_EQUAL(piece.size(), parser.feed(piece));
                rest.remove_prefix(piece.size());
            }
            CPPUNIT_ASSERT_EQUAL(Parser::State::Complete, parser.state());
            const HttpResponse expected{ 200,
                                         { { "X-One", "1" },
                                           { "X-Two", "2" },
                                           { "Transfer-Encoding", "chunked" },
                                           { "X-Three", "3" } },
                                         "abc0123456789" };
            CPPUNIT_ASSERT(expected == parser.takeResponse());
        }
    }

    void ignoresEmptyLinesBeforeARequest()
    {
        const std::string text = "\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n";
        Parser parser(Parser::Kind::Request);
        CPPUNIT_ASSERT_EQUAL(text.size(), parser.feed(text));
        CPPUNIT_ASSERT_EQUAL(Parser::State::Complete, parser.state());
        CPPUNIT_ASSERT_EQUAL(std::string("/a"), parser.takeRequest().target);
    }

    // Fails if a change of the library lets through what the gateway cannot serve, or refuses more
    // than that.
    void rejectsRequestsThatAreNotServed()
    {
        const std::string host = " HTTP/1.1\r\nHost: h\r\n";
        for (const std::string &it :
             { "FETCH /"s + host, "GET a"s + host, "GET "s + host, "GET /\r\nHost: h\r\n"s }) {
            Parser parser(Parser::Kind::Request);
            parser.feed(it + "\r\n");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it, Parser::State::Malformed, parser.state());
        }
        for (const std::string &it :
             { "OPTIONS *"s + host, "GET http://h/a"s + host, "PATCH /a?b=%20"s + host,
               "GET /"s + host + "Connection: upgrade\r\nUpgrade: h2c\r\n", "CONNECT h:1"s + host,
               "GET / HTTP/1.0\r\n"s }) {
            Parser parser(Parser::Kind::Request);
            parser.feed(it + "\r\n");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it, Parser::State::Complete, parser.state());
        }
    }

    void boundsHeadAndBody()
    {
        const HttpMessageLimits limits{ 64, 8 };
        Parser longHead(Parser::Kind::Request, limits);
        longHead.feed("GET / HTTP/1.1\r\nX: " + std::string(200, 'x') + "\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(Parser::State::HeadTooLarge, longHead.state());
        Parser longBody(Parser::Kind::Request, limits);
        longBody.feed("PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123456789");
        CPPUNIT_ASSERT_EQUAL(Parser::State::BodyTooLarge, longBody.state());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpMessageParserTest);

} // namespace lycheebay
