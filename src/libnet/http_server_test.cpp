#include "briarwind/http_client.h"
#include "briarwind/http_server.h"
#include "briarwind/testing.h"

#include <stdexcept>
#include <string>
#include <vector>

using namespace briarwind;

namespace {

constexpr std::size_t kBodyLimit = 1'000'000;
constexpr seconds kTestTimeout{ 10 };

instant TestDeadline()
{
  return monotonic_clock::now() + kTestTimeout;
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

// Echoes the body of a request. The request header Fault selects a fault to inject.
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
    throw std::length_error("a fault that the request asked for");
  }
  if (fault == "slow") {
    SleepFor(milliseconds(200));
  }
  return response;
}

} // namespace

// Guards against a client that misjudges an exchange: a request that may have been handled has to
// be reported as unknown, and a connection with leftover bytes must not carry another request. Each
// section makes the server break off, delay, repeat or reject a response.
BW_STORY("an HTTP client and server over loopback")
{
  fiber_runtime runtime;
  http_server server(runtime, { "127.0.0.1", 0 }, Echo, ShortLimits());
  std::vector<http_server_refusal> refusals;
  server.OnRefusal([&](http_server_refusal aRefusal) { refusals.push_back(aRefusal); });
  auto connected = http_connection::Connect(runtime, server.Listening(), TestDeadline());
  BW_CHECK(connected.has_value());
  http_connection& connection = *connected.value();

  BW_SECTION("exchange several requests and responses over one connection")
  {
    const std::string large(kBodyLimit, 'x');
    for (const std::string& body : { std::string("one"), large, std::string() }) {
      const http_exchange exchange = connection.Exchange(Post(body), TestDeadline(), kBodyLimit);
      BW_CHECK(exchange.mResponse.has_value());
      BW_CHECK(exchange.mReusable);
      BW_EQUAL(body, exchange.mResponse->mBody);
      BW_EQUAL(std::string("/echo?x=1"),
               std::string(*exchange.mResponse->mHeaders.Find("seen-target")));
    }
    BW_EQUAL(std::size_t{ 1 }, server.Connections());
  }
  BW_SECTION("handle a request body over the server's limit")
  {
    const auto exchange =
      connection.Exchange(Post(std::string(8 * kBodyLimit, 'x')), TestDeadline(), kBodyLimit);
    BW_SECTION("the server answers 413 although it has not read the whole body")
    {
      BW_CHECK(exchange.mResponse.has_value());
      BW_EQUAL(413U, exchange.mResponse->mStatus);
      BW_CHECK(refusals.front() == http_server_refusal::kBodyTooLarge);
    }
    BW_SECTION("the server closes the connection")
    {
      BW_CHECK(!exchange.mReusable);
    }
  }
  BW_SECTION("report a response body over the client's limit as too large")
  {
    const auto exchange = connection.Exchange(Post("12345"), TestDeadline(), 2);
    BW_CHECK(!exchange.mResponse.has_value());
    BW_CHECK(exchange.mError.mKind == error_kind::kTooLarge);
  }
  BW_SECTION("report an unknown outcome when the server closes the connection early")
  {
    http_request request = Post("body");
    for (const char* fault : { "drop", "truncate" }) {
      auto second = http_connection::Connect(runtime, server.Listening(), TestDeadline());
      request.mHeaders.Set("Fault", fault);
      const auto exchange = second.value()->Exchange(request, TestDeadline(), kBodyLimit);
      BW_CHECK(!exchange.mResponse.has_value());
      BW_CHECK(exchange.mBytesSent > 0);
      BW_CHECK(exchange.mError.mKind == error_kind::kUnknownOutcome);
    }
  }
  BW_SECTION("close only the connection whose handler threw an exception")
  {
    http_request request = Post("body");
    request.mHeaders.Set("Fault", "throw");
    const auto exchange = connection.Exchange(request, TestDeadline(), kBodyLimit);
    BW_CHECK(!exchange.mResponse.has_value());
    BW_CHECK(exchange.mError.mKind == error_kind::kUnknownOutcome);
    BW_CHECK(refusals.front() == http_server_refusal::kHandlerFailed);
    auto second = http_connection::Connect(runtime, server.Listening(), TestDeadline());
    BW_CHECK(
      second.value()->Exchange(Post("body"), TestDeadline(), kBodyLimit).mResponse.has_value());
  }
  BW_SECTION("report an unknown outcome when the deadline passes after the request was sent")
  {
    http_request request = Post("body");
    request.mHeaders.Set("Fault", "slow");
    const auto exchange =
      connection.Exchange(request, monotonic_clock::now() + milliseconds(20), kBodyLimit);
    BW_CHECK(!exchange.mResponse.has_value());
    BW_CHECK(exchange.mError.mKind == error_kind::kUnknownOutcome);
    BW_CHECK(!connection.IsOpen());
  }
  BW_SECTION("do not reuse a connection on which the response arrived twice")
  {
    http_request request = Post("body");
    request.mHeaders.Set("Fault", "double");
    const auto exchange = connection.Exchange(request, TestDeadline(), kBodyLimit);
    SleepFor(milliseconds(50));
    BW_CHECK(!exchange.mReusable || !connection.IsOpen());
  }
  BW_SECTION("drain the server while a request is in flight")
  {
    http_request request = Post("body");
    request.mHeaders.Set("Fault", "slow");
    http_exchange exchange;
    runtime.Spawn([&] { exchange = connection.Exchange(request, TestDeadline(), kBodyLimit); });
    SleepFor(milliseconds(50));
    BW_EQUAL(std::size_t{ 1 }, server.InFlight());
    BW_CHECK(server.Drain(TestDeadline()));
    SleepFor(milliseconds(50));
    BW_SECTION("the request in flight completes and its connection is closed")
    {
      BW_CHECK(exchange.mResponse.has_value());
      BW_CHECK(!exchange.mReusable);
    }
    BW_SECTION("new connections are refused")
    {
      BW_CHECK(!http_connection::Connect(runtime, server.Listening(), TestDeadline()).has_value());
    }
  }
}

BW_STORY("a call to a port without a listener reports that nothing was sent")
{
  fiber_runtime runtime;
  endpoint unusedPort;
  {
    const http_server stopped(runtime, { "127.0.0.1", 0 }, Echo);
    unusedPort = stopped.Listening();
  }
  const auto answer = HttpCall(runtime, unusedPort, Post("body"), TestDeadline());
  BW_CHECK(!answer.has_value());
  BW_CHECK(answer.error().mKind == error_kind::kUnavailable);
}

BW_STORY("a streamed response")
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
  auto connection = http_connection::Connect(runtime, server.Listening(), TestDeadline());
  std::vector<std::string> lines;
  BW_SECTION("is delivered line by line, regardless of how it was split into chunks")
  {
    const auto ended =
      connection.value()->Stream({}, milliseconds(5'000), [&](std::string_view aLine) {
        lines.emplace_back(aLine);
        return true;
      });
    BW_CHECK(ended.has_value());
    BW_CHECK((lines == std::vector<std::string>{ "one", "two", "three" }));
  }
  BW_SECTION("ends early when the reader returns false")
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
