#include "libnet/fiber_resumptions.h"

#include "briarwind/fiber_runtime.h"
#include "briarwind/http_client.h"
#include "briarwind/testing.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <thread>

using namespace briarwind;
namespace asio = boost::asio;

namespace {

enum class framing
{
  kLength,
  kChunks,
  kUntilClose,
};

std::string Answer(framing aFraming, const std::string& aBody)
{
  constexpr std::size_t kChunkBytes = 1'000;
  std::string answer = "HTTP/1.1 200 OK\r\n";
  switch (aFraming) {
    case framing::kLength:
      return answer + fmt::format("Content-Length: {}\r\n\r\n", aBody.size()) + aBody;
    case framing::kUntilClose:
      return answer + "Connection: close\r\n\r\n" + aBody;
    case framing::kChunks:
      break;
  }
  answer += "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t at = 0; at < aBody.size(); at += kChunkBytes) {
    const std::string chunk = aBody.substr(at, kChunkBytes);
    answer += fmt::format("{:x}\r\n{}\r\n", chunk.size(), chunk);
  }
  return answer + "0\r\n\r\n";
}

// A server on a thread of its own, so that none of its work is done by fibers of the client. It
// answers one request and closes the connection.
class blocking_server
{
public:
  explicit blocking_server(std::string aAnswer)
    : mAcceptor(mContext, { asio::ip::address_v4::loopback(), 0 })
    , mThread([this, answer = std::move(aAnswer)] { Serve(answer); })
  {
  }
  ~blocking_server() { mThread.join(); }
  blocking_server(const blocking_server&) = delete;
  blocking_server& operator=(const blocking_server&) = delete;

  endpoint Address() const { return { "127.0.0.1", mAcceptor.local_endpoint().port() }; }

private:
  void Serve(const std::string& aAnswer)
  {
    asio::ip::tcp::socket socket(mContext);
    mAcceptor.accept(socket);
    std::string request;
    boost::system::error_code ignored;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", ignored);
    asio::write(socket, asio::buffer(aAnswer), ignored);
  }

  asio::io_context mContext;
  asio::ip::tcp::acceptor mAcceptor;
  std::thread mThread;
};

http_request GetRequest()
{
  http_request request;
  request.mMethod = "GET";
  request.mTarget = "/";
  return request;
}

// Resumptions of the fiber that sends a request and reads this answer.
std::uint64_t ResumptionsOf(const std::string& aAnswer, std::size_t aBytes, bool aHasStallLimit)
{
  fiber_runtime runtime;
  blocking_server server(aAnswer);
  const instant deadline = monotonic_clock::now() + std::chrono::seconds(60);
  const auto connection = http_connection::Connect(runtime, server.Address(), deadline);
  BW_CHECK(static_cast<bool>(connection));
  const http_call_limits limits = aHasStallLimit
                                    ? http_call_limits(deadline, std::chrono::seconds(60))
                                    : http_call_limits(deadline);
  const std::uint64_t before = FiberResumptions();
  const http_exchange exchange =
    connection.value()->Exchange(GetRequest(), limits, std::size_t{ 4 } << 20U);
  const std::uint64_t after = FiberResumptions();
  BW_CHECK(exchange.mResponse.has_value());
  BW_EQUAL(aBytes, exchange.mResponse->mBody.size());
  BW_CHECK(std::ranges::all_of(exchange.mResponse->mBody, [](char aEach) { return aEach == 'x'; }));
  return after - before;
}

} // namespace

// Guards against answers that cost a resumption of the reading fiber for each read. On a host with
// many ready fibers, each resumption waits for a whole round of them.
BW_STORY("a fiber reads the answer to a request")
{
  // One each for the request, the header and the rest of the body.
  constexpr std::uint64_t kMaxResumptions = 3;
  const auto mostResumptions = [](framing aFraming, bool aHasStallLimit) {
    std::uint64_t most = 0;
    for (const std::size_t bytes : { 0, 512, 12'000, 1'000'000 }) {
      const std::string answer = Answer(aFraming, std::string(bytes, 'x'));
      most = std::max(most, ResumptionsOf(answer, bytes, aHasStallLimit));
    }
    return most;
  };
  BW_SECTION("an answer of announced length costs as few resumptions as a short one")
  {
    BW_CHECK(mostResumptions(framing::kLength, false) <= kMaxResumptions);
    BW_CHECK(mostResumptions(framing::kLength, true) <= kMaxResumptions);
  }
  BW_SECTION("and so does one in chunks")
  {
    BW_CHECK(mostResumptions(framing::kChunks, false) <= kMaxResumptions);
    BW_CHECK(mostResumptions(framing::kChunks, true) <= kMaxResumptions);
  }
  BW_SECTION("and one that ends with its connection")
  {
    BW_CHECK(mostResumptions(framing::kUntilClose, false) <= kMaxResumptions);
    BW_CHECK(mostResumptions(framing::kUntilClose, true) <= kMaxResumptions);
  }
}
