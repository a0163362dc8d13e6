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

struct settings_node_options
{
  member mSelf;                 ///< mId may be empty, mPeer is where to listen and may have port 0
  std::vector<endpoint> mPeers; ///< peers to ask when the store has named none
  duration mBound = kFreshnessBound;
  std::uint64_t mSeed = 0; ///< for ids, jitter and the choice of peers
};

/// One member of the system: the settings in force, the other members, the link to them and the
/// freshness of the settings. Routers and schedulers have one each.
class settings_node
{
public:
  settings_node(fiber_runtime& aRuntime, config_store& aStore, metrics& aMetrics,
                settings_node_options aOptions);
  ~settings_node();
  settings_node(const settings_node&) = delete;
  settings_node& operator=(const settings_node&) = delete;

  /// Starts the fibers that keep everything current.
  void Start();

  /// The settings in force; a later change makes a new view.
  std::shared_ptr<const settings_view> View() const;
  const settings_book& Book() const;
  /// Called after each change of the settings in force.
  void OnChange(std::function<void()> aObserver);

  /// Whether tasks may be started by this view. To be asked again after the last wait before a
  /// start is sent, since the process may have been paused.
  freshness_check Check(instant aNow) const;

  const member& Self() const;
  /// The members as last listed, this one among them.
  const std::vector<member>& Members() const;
  /// The member record in force here.
  const member_record& Record() const;
  peer_link& Link();

  /// `GET /v1/inforce`.
  http_response InForce() const;
  /// Takes this process out of the members; for a graceful shutdown.
  void Leave(instant aDeadline);

private:
  struct state;
  fiber_runtime& mRuntime;
  std::shared_ptr<state> mState;
};

} // namespace briarwind
