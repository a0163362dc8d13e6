#pragma once

#include "briarwind/fiber_runtime.h"
#include "briarwind/freshness.h"
#include "briarwind/http.h"
#include "briarwind/member.h"
#include "briarwind/metrics.h"
#include "briarwind/peer_link.h"
#include "briarwind/settings_book.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace briarwind {

/// Options of a settings_node.
struct settings_node_options
{
  /// This member. An empty mId is replaced by a new id; mPeer is the address to listen on, where
  /// port 0 picks any free port.
  member mSelf;
  std::vector<endpoint> mPeers;      ///< peers to query while the member record names none
  duration mBound = kFreshnessBound; ///< how long a confirmation of the settings is valid
  std::uint64_t mSeed = 0;           ///< seeds the member id, the jitter and the choice of peers
};

/// The part of a member process that keeps the settings up to date: it has the settings in force
/// and the freshness of them, the list of members, and the link to the peers. Each router and each
/// scheduler has one.
class settings_node
{
public:
  settings_node(fiber_runtime& aRuntime, config_store& aStore, metrics& aMetrics,
                settings_node_options aOptions);
  ~settings_node();
  settings_node(const settings_node&) = delete;
  settings_node& operator=(const settings_node&) = delete;

  /// Starts the fibers that register this member and keep the settings, the members and the
  /// freshness up to date.
  void Start();

  /// An immutable snapshot of the settings in force; a later change creates a new one.
  std::shared_ptr<const settings_view> View() const;
  /// The settings in force with their revisions.
  const settings_book& Book() const;
  /// Sets the function to call after each change of the settings in force.
  void OnChange(std::function<void()> aObserver);

  /// Whether tasks may be started by the settings in force. Has to be called again after the last
  /// suspension of the fiber before a start is sent, since the process may have been paused.
  freshness_check Check(instant aNow) const;

  /// This member, with its id and its bound peer address.
  const member& Self() const;
  /// The members found by the last successful listing, this member among them once it is
  /// registered.
  const std::vector<member>& Members() const;
  /// The member record in force in this process.
  const member_record& Record() const;
  /// The link to the peers, for further kinds of requests.
  peer_link& Link();

  /// The response to `GET /v1/inforce`: revisions in force and their freshness, as JSON.
  http_response InForce() const;
  /// Makes all fibers end and removes this process from the members, for a graceful shutdown.
  void Leave(instant aDeadline);

private:
  struct state;
  fiber_runtime& mRuntime;
  std::shared_ptr<state> mState;
};

} // namespace briarwind
