#include "briarwind/http_client.h"
#include "briarwind/http_server.h"
#include "briarwind/testing.h"

#include <stdexcept>
#include <string>
#include <vector>

using namespace briarwind;

namespace {

constexpr std::size_t kBodyLimit = 1'000'000;
constexpr seconds kPatience{ 10 };

instant Soon()
{
  return monotonic_clock::now() + kPatience;
}

http_server_limits ShortLimits()
{
  http_server_limits limits;
  limits.mBodyBytes = kBodyLimit;
  limits.mHeaderTimeout = milliseconds(100);
  limits.mBodyTimeout = milliseconds(100);
  return limits;
}

http_request Post(std::string aBody)
{
  http_request request;
  request.mMethod = "POST";
  request.mTarget = "/echo?x=1";
  request.mBody = std::move(aBody);
  return request;
}

// Echoes the body; the header Fault picks what goes wrong.
http_response Echo(const http_request& aRequest)
{
  http_response response;
  response.mBody = aRequest.mBody;
  response.mHeaders.Set("Seen-Target", aRequest.mTarget);
  const std::string_view fault = aRequest.mHeaders.Find("Fault").value_or("");
  response.mDrop = fault == "drop";
  response.mCopies = fault == "double" ? 2 : 1;
  if (fault == "truncate") {
    response.mTruncateAt = 2;
  }
  if (fault == "throw") {
    throw std::length_error("a request that the handler did not expect");
  }
  if (fault == "slow") {
    SleepFor(milliseconds(200));
  }
  return response;
}

} // namespace

BW_STORY("a client and a server on loopback")
{
  fiber_runtime runtime;
  http_server server(runtime, { "127.0.0.1", 0 }, Echo, ShortLimits());
  std::vector<http_server_refusal> refusals;
  server.OnRefusal([&](http_server_refusal aRefusal) { refusals.push_back(aRefusal); });
  auto connected = http_connection::Connect(runtime, server.Listening(), Soon());
  BW_CHECK(connected.has_value());
  http_connection& connection = *connected.value();

  BW_SECTION("exchange whole requests on one connection")
  {
    const std::string large(kBodyLimit, 'x');
    for (const std::string& body : { std::string("one"), large, std::string() }) {
      const http_exchange exchange = connection.Exchange(Post(body), Soon(), kBodyLimit);
      BW_CHECK(exchange.mResponse.has_value());
      BW_CHECK(exchange.mReusable);
      BW_EQUAL(body, exchange.mResponse->mBody);
      BW_EQUAL(std::string("/echo?x=1"),
               std::string(*exchange.mResponse->mHeaders.Find("seen-target")));
    }
    BW_EQUAL(std::size_t{ 1 }, server.Connections());
  }
  BW_SECTION("and a body over the server's limit")
  {
    const auto exchange =
      connection.Exchange(Post(std::string(8 * kBodyLimit, 'x')), Soon(), kBodyLimit);
    BW_SECTION("is answered with 413 though not all of it was read")
    {
      BW_CHECK(exchange.mResponse.has_value());
      BW_EQUAL(413U, exchange.mResponse->mStatus);
      BW_CHECK(refusals.front() == http_server_refusal::kBodyTooLarge);
    }
    BW_SECTION("ends the connection")
    {
      BW_CHECK(!exchange.mReusable);
    }
  }
  BW_SECTION("and an answer over the client's limit is an error")
  {
    const auto exchange = connection.Exchange(Post("12345"), Soon(), 2);
    BW_CHECK(!exchange.mResponse.has_value());
    BW_CHECK(exchange.mError.mKind == error_kind::kTooLarge);
  }
  BW_SECTION("and a server that cuts the connection leaves the outcome unknown")
  {
    http_request request = Post("body");
    for (const char* fault : { "drop", "truncate" }) {
      auto fresh = http_connection::Connect(runtime, server.Listening(), Soon());
      request.mHeaders.Set("Fault", fault);
      const auto exchange = fresh.value()->Exchange(request, Soon(), kBodyLimit);
      BW_CHECK(!exchange.mResponse.has_value());
      BW_CHECK(exchange.mBytesSent > 0);
      BW_CHECK(exchange.mError.mKind == error_kind::kUnknownOutcome);
    }
  }
  BW_SECTION("and a handler that throws ends its connection, not the server")
  {
    http_request request = Post("body");
    request.mHeaders.Set("Fault", "throw");
    const auto exchange = connection.Exchange(request, Soon(), kBodyLimit);
    BW_CHECK(!exchange.mResponse.has_value());
    BW_CHECK(exchange.mError.mKind == error_kind::kUnknownOutcome);
    BW_CHECK(refusals.front() == http_server_refusal::kHandlerFailed);
    auto fresh = http_connection::Connect(runtime, server.Listening(), Soon());
    BW_CHECK(fresh.value()->Exchange(Post("body"), Soon(), kBodyLimit).mResponse.has_value());
  }
  BW_SECTION("and a deadline that passes leaves the outcome unknown")
  {
    http_request request = Post("body");
    request.mHeaders.Set("Fault", "slow");
    const auto exchange =
      connection.Exchange(request, monotonic_clock::now() + milliseconds(20), kBodyLimit);
    BW_CHECK(!exchange.mResponse.has_value());
    BW_CHECK(exchange.mError.mKind == error_kind::kUnknownOutcome);
    BW_CHECK(!connection.IsOpen());
  }
  BW_SECTION("and an answer sent twice makes the connection unfit for another request")
  {
    http_request request = Post("body");
    request.mHeaders.Set("Fault", "double");
    const auto exchange = connection.Exchange(request, Soon(), kBodyLimit);
    SleepFor(milliseconds(50));
    BW_CHECK(!exchange.mReusable || !connection.IsOpen());
  }
  BW_SECTION("and a server that drains")
  {
    http_request request = Post("body");
    request.mHeaders.Set("Fault", "slow");
    http_exchange exchange;
    runtime.Spawn([&] { exchange = connection.Exchange(request, Soon(), kBodyLimit); });
    SleepFor(milliseconds(50));
    BW_EQUAL(std::size_t{ 1 }, server.InFlight());
    BW_CHECK(server.Drain(Soon()));
    SleepFor(milliseconds(50));
    BW_SECTION("finishes the request that is under way")
    {
      BW_CHECK(exchange.mResponse.has_value());
      BW_CHECK(!exchange.mReusable);
    }
    BW_SECTION("takes no new connection")
    {
      BW_CHECK(!http_connection::Connect(runtime, server.Listening(), Soon()).has_value());
    }
  }
}

BW_STORY("a call to a port where nobody listens")
{
  fiber_runtime runtime;
  endpoint closed;
  {
    const http_server gone(runtime, { "127.0.0.1", 0 }, Echo);
    closed = gone.Listening();
  }
  const auto answer = HttpCall(runtime, closed, Post("body"), Soon());
  BW_CHECK(!answer.has_value());
  BW_CHECK(answer.error().mKind == error_kind::kUnavailable);
}

BW_STORY("an answer that is streamed")
{
  fiber_runtime runtime;
  http_server server(runtime, { "127.0.0.1", 0 }, [](const http_request&) {
    http_response response;
    response.mStream = [](http_chunk_writer& aWriter) {
      aWriter.Write("one\ntw");
      SleepFor(milliseconds(10));
      aWriter.Write("o\nthree\n");
    };
    return response;
  });
  auto connection = http_connection::Connect(runtime, server.Listening(), Soon());
  std::vector<std::string> lines;
  BW_SECTION("arrives line by line")
  {
    const auto ended =
      connection.value()->Stream({}, milliseconds(5'000), [&](std::string_view aLine) {
        lines.emplace_back(aLine);
        return true;
      });
    BW_CHECK(ended.has_value());
    BW_CHECK((lines == std::vector<std::string>{ "one", "two", "three" }));
  }
  BW_SECTION("ends early when the reader has enough")
  {
    const auto ended =
      connection.value()->Stream({}, milliseconds(5'000), [&](std::string_view aLine) {
        lines.emplace_back(aLine);
        return false;
      });
    BW_CHECK(ended.has_value());
    BW_EQUAL(std::size_t{ 1 }, lines.size());
  }
}
