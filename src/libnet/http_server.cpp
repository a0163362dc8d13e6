#include "briarwind/http_server.h"

#include "await.h"
#include "beast_convert.h"
#include "http_session.h"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <system_error>
#include <utility>
#include <vector>

namespace briarwind {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr milliseconds kDrainPollInterval{ 5 };
constexpr milliseconds kAcceptRetryDelay{ 50 };
// A connection may be closed for a new one if its request is incomplete for this long, which an
// ordinary request takes a small part of, or if it is idle for longer than clients keep it (15 s).
constexpr milliseconds kDisplaceReadingAfter{ 5'000 };
constexpr milliseconds kDisplaceIdleAfter{ 16'000 };

tcp::acceptor OpenAcceptor(asio::io_context& aContext, const endpoint& aListen)
{
  const tcp::endpoint local = ToAsio(aListen);
  tcp::acceptor acceptor(aContext);
  acceptor.open(local.protocol());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  acceptor.bind(local);
  acceptor.listen(asio::socket_base::max_listen_connections);
  acceptor.non_blocking(true);
  return acceptor;
}

} // namespace

std::string_view ToString(http_server_refusal aRefusal)
{
  static constexpr std::array<std::string_view, 12> kNames{
    "too-many-connections",
    "body-too-large",
    "header-too-large",
    "timeout",
    "malformed",
    "handler-failed",
    "framing-too-large",
    "over-budget",
    "cut-off-over-budget",
    "write-timeout",
    "displaced",
    "client-left",
  };
  return kNames.at(static_cast<std::size_t>(aRefusal));
}

// State that the server shares with the fibers of the connections, which may outlive the server.
struct http_server::state
{
  state(fiber_runtime& aRuntime, const endpoint& aListen, http_handler aHandler,
        http_server_limits aLimits)
    : mRuntime(&aRuntime)
    , mAcceptor(OpenAcceptor(aRuntime.Context(), aListen))
  {
    const tcp::endpoint local = mAcceptor.local_endpoint();
    mLocal = { local.address().to_string(), local.port() };
    mShared.mHandler = std::move(aHandler);
    mShared.mLimits = std::move(aLimits);
    mShared.mBudget = mShared.mLimits.mBudget;
    if (!mShared.mBudget) {
      byte_budget::limits unlimited;
      unlimited.mTotal = std::numeric_limits<std::size_t>::max();
      mShared.mBudget = std::make_shared<byte_budget>(unlimited);
    }
  }

  void RunAcceptLoop(const std::shared_ptr<state>& aSelf)
  {
    while (!mShared.mStopping) {
      auto [code, socket] =
        AwaitFrom(std::make_tuple(boost::system::error_code(), tcp::socket(mRuntime->Context())),
                  [&](auto aHandler) { mAcceptor.async_accept(std::move(aHandler)); });
      if (!code) {
        Serve(aSelf, std::move(socket));
      } else if (!mShared.mStopping) {
        SleepFor(kAcceptRetryDelay); // most likely out of file descriptors
      }
    }
  }

  void Serve(const std::shared_ptr<state>& aSelf, tcp::socket aSocket)
  {
    if (mSessions.size() >= mShared.mLimits.mConnections && !Displace()) {
      boost::system::error_code ignored;
      const auto peer = aSocket.remote_endpoint(ignored);
      mShared.NotifyRefusal(http_server_refusal::kTooManyConnections, peer.address().to_string());
      return;
    }
    auto session = std::make_shared<http_session>(std::move(aSocket), mShared);
    mSessions.push_back(session.get());
    mRuntime->Spawn([aSelf, session] {
      session->Run();
      std::erase(aSelf->mSessions, session.get());
    });
  }

  // How long ago the connection could first be closed for a new one; negative if it may not yet.
  static duration Overdue(const http_session& aSession, instant aNow)
  {
    if (const auto since = aSession.ReadingSince()) {
      return aNow - *since - kDisplaceReadingAfter;
    }
    const auto since = aSession.IdleSince();
    return since ? aNow - *since - kDisplaceIdleAfter : duration::min();
  }

  // Closes the connection that has gone longest without a complete request, if that is too long.
  bool Displace()
  {
    const instant now = monotonic_clock::now();
    http_session* oldest = nullptr;
    duration longest = duration::zero();
    for (http_session* each : mSessions) {
      const duration overdue = each->IsOpen() ? Overdue(*each, now) : duration::zero();
      if (overdue > longest) {
        longest = overdue;
        oldest = each;
      }
    }
    if (oldest == nullptr) {
      return false;
    }
    mShared.NotifyRefusal(http_server_refusal::kDisplaced, oldest->Peer());
    oldest->Abort();
    return true;
  }

  void Stop(const std::shared_ptr<state>& aSelf)
  {
    if (std::exchange(mShared.mStopping, true)) {
      return;
    }
    // Serves the connections that wait in the listen backlog: closing the listener would reset
    // them.
    boost::system::error_code code;
    while (!code) {
      tcp::socket socket(mRuntime->Context());
      mAcceptor.accept(socket, code);
      if (!code) {
        Serve(aSelf, std::move(socket));
      }
    }
    mAcceptor.close(code);
  }

  fiber_runtime* mRuntime;
  tcp::acceptor mAcceptor;
  endpoint mLocal;
  http_session_shared mShared;
  std::vector<http_session*> mSessions;
};

http_server::http_server(fiber_runtime& aRuntime, const endpoint& aListen, http_handler aHandler,
                         http_server_limits aLimits)
  : mState(std::make_shared<state>(aRuntime, aListen, std::move(aHandler), std::move(aLimits)))
{
  aRuntime.Spawn([self = mState] { self->RunAcceptLoop(self); });
}

http_server::~http_server()
{
  mState->Stop(mState);
  std::ranges::for_each(mState->mSessions, &http_session::Abort);
}

endpoint http_server::Listening() const
{
  return mState->mLocal;
}

std::size_t http_server::Connections() const
{
  return mState->mSessions.size();
}

std::size_t http_server::InFlight() const
{
  return static_cast<std::size_t>(std::ranges::count_if(mState->mSessions, &http_session::IsBusy));
}

void http_server::OnRefusal(std::function<void(http_server_refusal)> aObserver)
{
  mState->mShared.mOnRefusal = std::move(aObserver);
}

void http_server::OnRefusedPeer(
  std::function<void(http_server_refusal, const std::string&)> aObserver)
{
  mState->mShared.mOnRefusedPeer = std::move(aObserver);
}

void http_server::StopAccepting()
{
  mState->Stop(mState);
}

bool http_server::Drain(instant aDeadline)
{
  StopAccepting();
  while (Connections() > 0) {
    std::ranges::for_each(mState->mSessions, &http_session::CloseIfIdle);
    if (monotonic_clock::now() >= aDeadline) {
      return false;
    }
    SleepFor(kDrainPollInterval);
  }
  return true;
}

} // namespace briarwind
