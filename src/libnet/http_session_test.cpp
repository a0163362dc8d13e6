#include "libnet/await.h"
#include "libnet/beast_convert.h"

#include "briarwind/fiber_runtime.h"
#include "briarwind/http_server.h"
#include "briarwind/testing.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>
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
