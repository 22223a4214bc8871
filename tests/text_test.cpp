// Tests the protocol parsers. Each case is parsed complete and truncated at every position, because an
// incomplete message must never be accepted.
#include <gtest/gtest.h>

#include <cmath>
#include <string>
#include <string_view>

#include "protocol/http1.h"
#include "protocol/http_chunks.h"
#include "protocol/memcache_text.h"
#include "protocol/origin_http.h"

using namespace brookrelay;

namespace {

constexpr std::string_view kProperties = "Pc=put,t=acme,d=480,k=5c0f,size=12.5";

TEST(MemcacheText, CommandsAreParsedOnlyWhenComplete) {
    using Kind = Command::Kind;
    struct Case {
        std::string in;
        Kind kind;
        const char* key;
        const char* value;
        bool framing_lost;
    };
    const std::string properties(kProperties);
    const Case cases[] = {
        {"mg 7f3a v O9b Pc=read,t=acme,d=480\r\n", Kind::read, "7f3a", "", false},
        {"mg 7f3a v O9b Pc=read,d=480,r=1\n", Kind::read, "7f3a", "", false},
        {"ms 7f3a 5 O9b " + properties + "\r\nhello\r\n", Kind::write, "7f3a", "hello", false},
        {"ms 7f3a 4 O9b " + properties + "\r\n\r\n\r\n\r\n", Kind::write, "7f3a", "\r\n\r\n", false},
        {"ms 7f3a 0 O9b " + properties + "\r\n\r\n", Kind::write, "7f3a", "", false},
        {"mn\r\n", Kind::hello, "", "", false},
        {"get a\r\n", Kind::malformed, "", "", false},
        {"mg a v O9b\r\n", Kind::malformed, "", "", false},
        {"mg a v Pc=read,d=1\r\n", Kind::malformed, "", "", false},
        {"mg a O9b Pc=read,d=1\r\n", Kind::malformed, "", "", false},
        {"mg a v O9b Pc=read\r\n", Kind::malformed, "", "", false},
        {"mg a v O9b Pd=1\r\n", Kind::malformed, "", "", false},
        {"mg a v O9b Pc=read,d=x\r\n", Kind::malformed, "", "", false},
        {"mg a v O9b Pc=read,d=-5\r\n", Kind::malformed, "", "", false},
        {"mg a v O9b Pc=read,d=1 q\r\n", Kind::malformed, "", "", false},
        {"mg a\x01 v O9b Pc=read,d=1\r\n", Kind::malformed, "", "", false},
        {"mg " + std::string(251, 'k') + " v O9b Pc=read,d=1\r\n", Kind::malformed, "", "", false},
        {"ms a 5 O9b\r\nhello\r\n", Kind::malformed, "", "", false},
        {"ms a -1 O9b " + properties + "\r\n", Kind::malformed, "", "", true},
        {"ms a 4194305 O9b " + properties + "\r\n", Kind::malformed, "", "", true},
        {"ms a 3 O9b " + properties + "\r\nhello\r\n", Kind::malformed, "", "", true},
        {std::string(kMaxLineBytes, 'x'), Kind::malformed, "", "", true},
    };
    for (const Case& c : cases) {
        SCOPED_TRACE(c.in);
        Command command;
        const bool is_framing_lost = c.framing_lost;
        for (std::size_t n = 0; !is_framing_lost && n < c.in.size(); ++n)
            EXPECT_EQ(parse_command(std::string_view(c.in).substr(0, n), command), 0U);
        const std::size_t parsed_bytes = parse_command(c.in + (is_framing_lost ? "" : "mn\r\n"), command);
        if (is_framing_lost) {
            EXPECT_GT(parsed_bytes, 0U);
        } else {
            EXPECT_EQ(parsed_bytes, c.in.size());
        }
        EXPECT_EQ(command.kind, c.kind);
        EXPECT_EQ(command.framing_lost, c.framing_lost);
        if (command.kind == Kind::malformed) continue;
        EXPECT_EQ(command.key, c.key);
        EXPECT_EQ(command.value, c.value);
    }
}

TEST(MemcacheText, CommandsAreForwardedUnchangedExceptForTheRemainingTime) {
    struct Case {
        std::string in, out;
    };
    for (const Case& c :
         {Case{"mg a v O9b Pc=read,t=x,d=480,z=1\r\n", "mg a v O9b Pc=read,t=x,d=125,z=1\r\n"},
          Case{"mg a v Pd=9,c=read O9b\r\n", "mg a v O9b Pd=125,c=read\r\n"},
          Case{"ms a 3 O1 Pc=w,d=480,k=d=7\r\nxyz\r\n", "ms a 3 O1 Pc=w,d=125,k=d=7\r\nxyz\r\n"}}) {
        SCOPED_TRACE(c.in);
        Command command;
        EXPECT_EQ(parse_command(c.in, command), c.in.size());
        EXPECT_EQ(format_command(command, 0.125), c.out);
    }
    Command command;
    parse_command("ms a 3 O1 Pc=w,t=acme,r=1,d=480\r\nxyz\r\n", command);
    const RequestAttributes& attributes = command.attributes;
    EXPECT_EQ(attributes.operation, "w");
    EXPECT_EQ(attributes.tenant, "acme");
    EXPECT_TRUE(attributes.is_client_retry);
    EXPECT_LT(std::abs(attributes.time_remaining - 0.48), 1e-9);
    EXPECT_NE(format_attributes(attributes, 0).find("d=1"), std::string::npos);  // the minimum, never d=0
}

TEST(MemcacheText, RepliesAreParsedOnlyWhenComplete) {
    using Kind = Reply::Kind;
    struct Case {
        std::string in;
        Kind kind;
        const char* id;
        const char* body;
    };
    for (const Case& c :
         {Case{"VA 5 O9b\r\nhello\r\n", Kind::value, "9b", "hello"},
          Case{"VA 5 h1 O9b\r\n\r\nxyz\r\n", Kind::value, "9b", "\r\nxyz"},
          Case{"HD O9b c77\r\n", Kind::receipt, "9b", "77"}, Case{"EN O9b h0 Z\r\n", Kind::miss, "9b", ""},
          Case{"MN\r\n", Kind::hello, "", ""}, Case{"SERVER_ERROR busy\r\n", Kind::busy, "", ""},
          Case{"SERVER_ERROR busy or not\r\n", Kind::failed, "", ""},
          Case{"SERVER_ERROR failed\r\n", Kind::failed, "", ""}, Case{"hello\r\n", Kind::malformed, "", ""},
          Case{"VA x O9b\r\n", Kind::malformed, "", ""},
          Case{"VA 3000000000 O9b\r\n", Kind::malformed, "", ""}}) {
        SCOPED_TRACE(c.in);
        Reply reply;
        for (std::size_t n = 0; n < c.in.size(); ++n)
            EXPECT_EQ(parse_reply(std::string_view(c.in).substr(0, n), reply), 0U);
        EXPECT_EQ(parse_reply(c.in + "EN", reply), c.in.size());
        EXPECT_EQ(reply.kind, c.kind);
        EXPECT_EQ(reply.id, c.id);
        EXPECT_EQ(reply.body, c.body);
    }
    Reply malformed_reply;
    EXPECT_GT(parse_reply("VA 3 O9b\r\nhello\r\n", malformed_reply), 0U);
    EXPECT_EQ(malformed_reply.kind, Kind::malformed);
    EXPECT_EQ(format_busy(0), "SERVER_ERROR busy\r\n");
    EXPECT_EQ(format_busy(0.25), "SERVER_ERROR busy 250\r\n");
}

TEST(MemcacheText, TheFirstLineOfAWriteIsParsedBeforeItsValue) {
    const std::string line = "ms k 300000 O1 Pc=put,d=1200\r\n";
    const WriteHeader header = parse_write_header(line + "part of the value");
    EXPECT_EQ(header.header_bytes, line.size());
    EXPECT_EQ(header.length, 300'000U);
    EXPECT_EQ(header.time_remaining, 1.2);
    EXPECT_EQ(parse_write_header("ms k 300000 O1 Pc=put\r\n").time_remaining, 0);
    for (const char* other :
         {"", "ms k 300000 O1 Pc=put,d=1200", "mg k v O1 Pc=read,d=1200\r\n", "ms k x\r\n"})
        EXPECT_EQ(parse_write_header(other).header_bytes, 0U) << other;
}

TEST(HttpResponses, AreParsedOnlyWhenComplete) {
    struct Case {
        std::string in;
        bool is_valid;
        int status;
        const char* body;
        bool keep_alive;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    for (const Case& c :
         {Case{ok + "Content-Length: 5\r\n\r\nhello", true, 200, "hello", true},
          Case{ok + "content-length:0\r\nConnection: close\r\n\r\n", true, 200, "", false},
          Case{ok + "Transfer-Encoding: Chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nT: 1\r\n\r\n", true,
               200, "hello", true},
          Case{"HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 1\r\n\r\nx", true, 200, "x", true},
          Case{"HTTP/1.0 503 No\r\nContent-Length: 0\r\n\r\n", true, 503, "", false},
          Case{"HTTP/1.1 204 None\r\n\r\n", true, 204, "", true},
          Case{ok + "Content-Length: 70000\r\n\r\n", false, 200, "", true},
          Case{ok + "Content-Length: five\r\n\r\n", false, 200, "", true},
          Case{ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", false, 200, "", true},
          Case{ok + "no colon\r\n\r\n", false, 200, "", true},
          // Conflicting lengths: in a test run a client was served only the first three bytes of a value.
          Case{ok + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nhello", false, 200, "", true},
          Case{ok + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", true, 200, "hello", true},
          Case{ok + "Content-Length: -1\r\n\r\n", false, 200, "", true},
          Case{ok + "Content-Length : 5\r\n\r\nhello", false, 200, "", true},
          Case{ok + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false, 200, "", true},
          Case{ok + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", false, 200, "", true},
          Case{"HTTP/1.1 101 Switching\r\n\r\n" + ok + "Content-Length: 0\r\n\r\n", false, 101, "", true}}) {
        SCOPED_TRACE(c.in);
        HttpResponse response;
        for (std::size_t n = 0; c.is_valid && n < c.in.size(); ++n)
            EXPECT_EQ(
                parse_http_response(std::string_view(c.in).substr(0, n), kMaxBufferedValueBytes, response),
                0U);
        EXPECT_EQ(parse_http_response(c.in, kMaxBufferedValueBytes, response), c.in.size());
        EXPECT_EQ(response.valid, c.is_valid);
        EXPECT_EQ(response.status, c.status);
        if (c.is_valid) {
            EXPECT_EQ(response.body, c.body);
            EXPECT_EQ(response.keep_alive, c.keep_alive);
        }
    }
    HttpResponse response;
    // A body without a length is complete only when its connection ends cleanly.
    for (const std::string body : {"", "h", "hello\r\n\r\n"}) {
        SCOPED_TRACE(body);
        const std::string in = ok + "A: b\r\n\r\n" + body;
        for (std::size_t n = 0; n <= in.size(); ++n)
            EXPECT_EQ(
                parse_http_response(std::string_view(in).substr(0, n), kMaxBufferedValueBytes, response), 0U);
        EXPECT_EQ(parse_http_response(in, kMaxBufferedValueBytes, response, true), in.size());
        EXPECT_TRUE(response.valid);
        EXPECT_EQ(response.body, body);
        EXPECT_FALSE(response.keep_alive);
        EXPECT_TRUE(response.has_unknown_length());
    }
    EXPECT_EQ(
        parse_http_response(ok + "Content-Length: 5\r\n\r\nhell", kMaxBufferedValueBytes, response, true),
        0U);
    EXPECT_EQ(parse_http_response(ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n",
                                  kMaxBufferedValueBytes, response, true),
              0U);
    EXPECT_EQ(parse_http_response(ok + "A: b", kMaxBufferedValueBytes, response, true), 0U);
    EXPECT_GT(parse_http_response(ok + "\r\n" + std::string(9, 'x'), {99, 8}, response), 0U);
    EXPECT_FALSE(response.valid);
    EXPECT_GT(parse_http_response("SSH-2.0", kMaxBufferedValueBytes, response), 0U);
    EXPECT_FALSE(response.valid);
    std::string interim_responses;
    for (int n = 0; n < 400; ++n) interim_responses += "HTTP/1.1 102 Processing\r\n\r\n";
    EXPECT_GT(parse_http_response(interim_responses, kMaxBufferedValueBytes, response), 0U);
    EXPECT_FALSE(response.valid);
}

TEST(ChunkDecoder, DecodesInputInPiecesOfAnySize) {
    const std::string input = "3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nT: 1\r\n\r\n";
    for (std::size_t piece = 1; piece <= input.size(); ++piece) {
        SCOPED_TRACE(piece);
        ChunkDecoder decoder(5);
        std::string body;
        std::size_t received = 0, removed = 0;
        ChunkDecoder::Progress progress{0, ChunkDecoder::Status::incomplete};
        while (progress.status == ChunkDecoder::Status::incomplete && received < input.size()) {
            received = std::min(received + piece, input.size());
            progress = decoder.decode(std::string_view(input).substr(removed, received - removed), body);
            removed += progress.bytes;
        }
        EXPECT_EQ(progress.status, ChunkDecoder::Status::complete);
        EXPECT_EQ(removed, input.size());
        EXPECT_EQ(body, "hello");
    }
    for (const char* malformed : {"6\r\nhello!\r\n", "zz\r\n", "1\r\nxyz\r\n"}) {
        std::string body;
        EXPECT_EQ(ChunkDecoder(5).decode(malformed, body).status, ChunkDecoder::Status::malformed)
            << malformed;
    }
}

TEST(OriginProtocol, MapsResponsesToOutcomesAndCommandsToRequests) {
    struct Case {
        const char* head;
        AttemptOutcome outcome;
    };
    for (const Case& c :
         {Case{"HTTP/1.1 200 OK\r\n", AttemptOutcome::succeeded},
          Case{"HTTP/1.1 500 E\r\n", AttemptOutcome::failed},
          Case{"HTTP/1.1 503 B\r\nX-Never-Ran: 1\r\n", AttemptOutcome::busy},
          Case{"HTTP/1.1 504 L\r\nx-never-ran: 1\r\n", AttemptOutcome::busy},
          Case{"HTTP/1.1 503 B\r\n", AttemptOutcome::failed},  // without X-Never-Ran it may have run
          Case{"HTTP/1.1 500 E\r\nX-Never-Ran: 1\r\n", AttemptOutcome::failed},
          Case{"HTTP/1.1 404 N\r\n", AttemptOutcome::failed}}) {
        SCOPED_TRACE(c.head);
        AttemptResponse response;
        EXPECT_GT(parse_origin_response(std::string(c.head) + "Content-Length: 1\r\n\r\nx", response), 0U);
        EXPECT_TRUE(response.valid);
        EXPECT_EQ(response.outcome, c.outcome);
        // Without a length, a successful response is complete at the end of the connection; for any other the
        // head is sufficient.
        const std::string message = std::string(c.head) + "\r\nx";
        const bool is_success = c.outcome == AttemptOutcome::succeeded;
        EXPECT_EQ(parse_origin_response(message, response) == 0, is_success);
        EXPECT_GT(parse_origin_response(message, response, true), 0U);
        EXPECT_TRUE(response.valid);
        EXPECT_EQ(response.outcome, c.outcome);
        EXPECT_FALSE(response.reusable);
        EXPECT_EQ(response.body, is_success ? "x" : "");
    }
    Command command;
    parse_command("ms a/b? 3 O9b Pc=w,d=480\r\nxyz\r\n", command);
    EXPECT_EQ(format_origin_request(command, 0.1, "h:1"),
              "PUT /a%2Fb%3F HTTP/1.1\r\nHost: h:1\r\nX-Trace-Id: 9b\r\nX-Props: c=w,d=100\r\n"
              "Content-Length: 3\r\n\r\nxyz");
    parse_command("mg k1 v O9b Pc=r,d=480\r\n", command);
    EXPECT_EQ(format_origin_request(command, 0.1, "h:1"),
              "GET /k1 HTTP/1.1\r\nHost: h:1\r\nX-Trace-Id: 9b\r\nX-Props: c=r,d=100\r\n\r\n");
}

}  // namespace
