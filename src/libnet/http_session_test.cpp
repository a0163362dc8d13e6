#include "libnet/await.h"
#include "libnet/beast_convert.h"

#include "briarwind/fiber_runtime.h"
#include "briarwind/http_server.h"
#include "briarwind/testing.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <memory>
#include <string>
#include <vector>

using namespace briarwind;
namespace asio = boost::asio;

namespace {

constexpr std::string_view kIncompleteHeader = "POST /echo HTTP/1.1\r\nHost: x\r\nSlo";
constexpr std::string_view kIncompleteBody =
  "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\npart";

http_server_limits ShortLimits()
{
  http_server_limits limits;
  limits.mHeaderTimeout = milliseconds(50);
  limits.mBodyTimeout = milliseconds(50);
  return limits;
}

// Sends the text and returns everything that the server sends until it closes the connection.
std::string SendAndReceiveAll(fiber_runtime& aRuntime, const endpoint& aServer,
                              std::string_view aText)
{
  asio::ip::tcp::socket socket(aRuntime.Context());
  Await<>([&](auto aHandler) { socket.async_connect(ToAsio(aServer), std::move(aHandler)); });
  Await<std::size_t>(
    [&](auto aHandler) { asio::async_write(socket, asio::buffer(aText), std::move(aHandler)); });
  std::string received;
  std::array<char, 1024> piece{};
  while (true) {
    const auto [code, bytes] = Await<std::size_t>(
      [&](auto aHandler) { socket.async_read_some(asio::buffer(piece), std::move(aHandler)); });
    if (code) {
      return received;
    }
    received.append(piece.data(), bytes);
  }
}

// A server with a budget of 200,000 bytes that counts the requests it handles.
struct bounded_server
{
  bounded_server()
  {
    mServer.OnRefusal([this](http_server_refusal aRefusal) { mRefusals.push_back(aRefusal); });
  }

  static http_server_limits Limits()
  {
    byte_budget::limits small;
    small.mTotal = 200'000;
    small.mKeptForSmall = 0;
    http_server_limits limits;
    limits.mBudget = std::make_shared<byte_budget>(small);
    return limits;
  }

  std::string Answer(const std::string& aText)
  {
    return SendAndReceiveAll(mRuntime, mServer.Listening(), aText);
  }

  fiber_runtime mRuntime;
  http_server_limits mLimits = Limits();
  int mHandled = 0;
  std::vector<http_server_refusal> mRefusals;
  http_server mServer{ mRuntime,
                       { "127.0.0.1", 0 },
                       [this](const http_request&) {
                         ++mHandled;
                         return http_response{};
                       },
                       mLimits };
};

const std::string kChunkedHeader =
  "POST /echo HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against a server that closes the connection of a slow client without a response: the
// client stalls in the middle of a request, and the read has to time out with the socket still
// open.
BW_STORY("a client that stalls in the middle of a request")
{
  fiber_runtime runtime;
  http_server server(
    runtime, { "127.0.0.1", 0 }, [](const http_request&) { return http_response{}; },
    ShortLimits());
  std::vector<http_server_refusal> refusals;
  server.OnRefusal([&](http_server_refusal aRefusal) { refusals.push_back(aRefusal); });
  const std::vector<http_server_refusal> expected{ http_server_refusal::kTimeout };

  BW_SECTION("receives 408 when its header is incomplete")
  {
    BW_CHECK(SendAndReceiveAll(runtime, server.Listening(), kIncompleteHeader)
               .starts_with("HTTP/1.1 408 "));
    BW_CHECK(refusals == expected);
  }
  BW_SECTION("receives 408 when its body is incomplete")
  {
    BW_CHECK(
      SendAndReceiveAll(runtime, server.Listening(), kIncompleteBody).starts_with("HTTP/1.1 408 "));
    BW_CHECK(refusals == expected);
  }
}

// Guards against buffers that grow with what a client sends between and after the chunks of a body.
BW_STORY("a client that sends more than a body in chunks")
{
  bounded_server server;

  BW_SECTION("receives 431 for trailers over the limit of a header")
  {
    const std::string line = "Field: " + std::string(1'000, 'x') + "\r\n";
    std::string text = kChunkedHeader + "1\r\nx\r\n0\r\n";
    while (text.size() < 30'000) {
      text += line;
    }
    BW_CHECK(server.Answer(text).starts_with("HTTP/1.1 431 "));
    BW_CHECK(server.mRefusals == std::vector{ http_server_refusal::kFramingTooLarge });
    BW_EQUAL(0, server.mHandled);
  }
  BW_SECTION("receives 431 for many chunk extensions that are long together")
  {
    std::string text = kChunkedHeader;
    while (text.size() < 100'000) {
      text += "1;name=" + std::string(1'000, 'x') + "\r\nx\r\n";
    }
    BW_CHECK(server.Answer(text).starts_with("HTTP/1.1 431 "));
    BW_CHECK(server.mRefusals == std::vector{ http_server_refusal::kFramingTooLarge });
  }
  BW_SECTION("is served if its chunks have one byte and its trailers are short")
  {
    std::string text = kChunkedHeader;
    for (int count = 0; count < 20'000; ++count) {
      text += "00000001\r\nx\r\n";
    }
    text += "0\r\nTrailer: x\r\n\r\n";
    BW_CHECK(server.Answer(text).starts_with("HTTP/1.1 200 "));
    BW_EQUAL(1, server.mHandled);
  }
}

// Guards against a process that runs out of memory, and against the handling of a request whose
// body was cut off.
BW_STORY("a body that does not fit into the budget")
{
  bounded_server server;

  BW_SECTION("receives 503 at its header if it is announced")
  {
    const std::string received =
      server.Answer("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 300000\r\n\r\n");
    BW_CHECK(received.starts_with("HTTP/1.1 503 "));
    BW_CHECK(received.find("Retry-After: 1\r\n") != std::string::npos);
    BW_CHECK(server.mRefusals == std::vector{ http_server_refusal::kOverBudget });
    BW_EQUAL(0, server.mHandled);
  }
  BW_SECTION("receives 503 and is not handled if it is unannounced")
  {
    const std::string text =
      kChunkedHeader + "493e0\r\n" + std::string(300'000, 'x') + "\r\n0\r\n\r\n";
    BW_CHECK(server.Answer(text).starts_with("HTTP/1.1 503 "));
    BW_CHECK(server.mRefusals == std::vector{ http_server_refusal::kCutOffOverBudget });
    BW_EQUAL(0, server.mHandled);
    BW_CHECK(server.mLimits.mBudget->Used() < 50'000);
  }
}

// Guards against a request that takes effect although its client has left and turned to another
// host, since the process stood still meanwhile (review/12).
BW_STORY("a process reads a request late")
{
  bounded_server server;
  BW_SECTION("it does not run if the client has closed the connection")
  {
    {
      // Connects, sends and closes while the server's fibers do not run.
      asio::ip::tcp::socket socket(server.mRuntime.Context());
      socket.connect(ToAsio(server.mServer.Listening()));
      asio::write(socket, asio::buffer(std::string_view("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
    }
    SleepFor(milliseconds(100));
    BW_EQUAL(0, server.mHandled);
    BW_EQUAL(std::size_t{ 1 }, server.mRefusals.size());
    BW_CHECK(server.mRefusals.front() == http_server_refusal::kClientLeft);
  }
  BW_SECTION("it runs if the client still waits")
  {
    BW_CHECK(server.Answer("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
               .starts_with("HTTP/1.1 200"));
    BW_EQUAL(1, server.mHandled);
  }
}
