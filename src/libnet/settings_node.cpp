#include "briarwind/settings_node.h"

#include "briarwind/membership.h"
#include "briarwind/settings_events.h"
#include "briarwind/settings_feed.h"
#include "briarwind/swap_with_retry.h"
#include "peer_freshness.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <random>
#include <set>
#include <utility>

namespace briarwind {

namespace {

constexpr milliseconds kReadInterval{ 700 };
constexpr milliseconds kReadTimeout{ 600 };
constexpr milliseconds kMaxReadBackoff{ 3'000 };
constexpr milliseconds kPeerQueryInterval{ 400 };
constexpr milliseconds kPeerQueryTimeout{ 600 };
constexpr milliseconds kFirstQueryPollInterval{ 5 };
// Number of random peers to query in each round while the settings stay confirmed; otherwise all
// peers are queried.
constexpr std::size_t kPeersPerQuery = 2;
constexpr milliseconds kRecordUpdateInterval{ 500 };
constexpr milliseconds kRecordWriteTimeout{ 1'000 };
// The list of members has to be unchanged for this long before members are removed from the record.
// Members whose leases expired during an outage of the store have registered again well before.
constexpr milliseconds kRemovalDelay{ 6'000 };

bool ContainsMember(const std::vector<member>& aMembers, const std::string& aId)
{
  return std::ranges::find(aMembers, aId, &member::mId) != aMembers.end();
}

wire::PeerAnswer RefuseAfterShutdown(const wire::PeerRequest&)
{
  wire::PeerAnswer answer;
  answer.set_refusal("ended");
  return answer;
}

} // namespace

struct settings_node::state : std::enable_shared_from_this<settings_node::state>
{
  state(fiber_runtime& aRuntime, config_store& aStore, metrics& aMetrics,
        settings_node_options aOptions)
    : mRuntime(aRuntime)
    , mStore(aStore)
    , mMetrics(aMetrics)
    , mOptions(WithMemberId(std::move(aOptions)))
    , mRandom(mOptions.mSeed)
    , mLink(aRuntime, mOptions.mSelf.mId, aMetrics)
    , mFeed(aRuntime, aStore, aMetrics, mRandom())
    , mMembers(aRuntime, aStore, StartListening(), mRandom())
    , mFreshness(mOptions.mSelf.mId, mOptions.mBound)
  {
  }

  // The link may handle requests for a short time after this object is destroyed.
  ~state() { mLink.SetHandler(wire::PeerRequest::kFreshness, RefuseAfterShutdown); }
  state(const state&) = delete;
  state& operator=(const state&) = delete;

  static settings_node_options WithMemberId(settings_node_options aOptions)
  {
    if (aOptions.mSelf.mId.empty()) {
      aOptions.mSelf.mId = MakeMemberId(aOptions.mSelf, std::mt19937_64(aOptions.mSeed)());
    }
    return aOptions;
  }

  const member& StartListening()
  {
    mOptions.mSelf.mPeer = mLink.Listen(mOptions.mSelf.mPeer);
    return mOptions.mSelf;
  }

  // Stops the parts explicitly: sleeping fibers keep this object alive, so its destructor runs
  // late.
  void Stop();
  bool IsInRecord() const { return ContainsMember(mFeed.Record().mMembers, mOptions.mSelf.mId); }
  void RegisterCallbacks();
  void OnFeedChange();
  void OnStoreRead(instant aStartedAt);
  void ConfirmFirstRead(instant aStartedAt);
  bool NeedsStoreRead(instant aNow) const;
  void RunStoreReads();
  std::vector<endpoint> PeersToQuery(instant aNow);
  void QueryPeer(const endpoint& aPeer);
  void RunPeerQueries();
  void ReportFreshness();
  bool IsRecordWriter() const;
  void RunRecordUpdates();
  void WriteRecord(const member_record& aNext);

  fiber_runtime& mRuntime;
  config_store& mStore;
  metrics& mMetrics;
  settings_node_options mOptions;
  std::mt19937_64 mRandom;
  peer_link mLink;
  settings_feed mFeed;
  membership mMembers;
  freshness mFreshness;
  std::function<void()> mOnChange = [] {};
  store_revision mAnnouncedRevision = 0;
  bool mWasFresh = false;
  bool mHasStartedFirstQuery = false;
  bool mHasQueriedPeers = false;
  bool mStopped = false;
};

void settings_node::state::RegisterCallbacks()
{
  mFeed.OnChange([this] { OnFeedChange(); });
  mFeed.OnOlderListing([this] { mFreshness.OnOlderStoreRead(); });
  mFeed.OnConfirmed([this](instant aStartedAt) { OnStoreRead(aStartedAt); });
  mLink.SetHandler(wire::PeerRequest::kFreshness, [this](const wire::PeerRequest& aRequest) {
    const instant now = monotonic_clock::now();
    return MakeFreshnessAnswer(mFreshness.Report(now), mFreshness.Check(now), mFeed,
                               aRequest.freshness());
  });
}

void settings_node::state::Stop()
{
  mStopped = true;
  mFeed.Stop();
  mMembers.Stop();
}

void settings_node::state::OnFeedChange()
{
  mFreshness.OnSettingsApplied(mFeed.Book().Revision());
  mFreshness.OnMemberRecord(mFeed.Record());
  if (mFeed.Book().Revision() != mAnnouncedRevision) {
    mAnnouncedRevision = mFeed.Book().Revision();
    mOnChange();
  }
}

void settings_node::state::OnStoreRead(instant aStartedAt)
{
  mMetrics.Count(kFreshnessConfirmations, ToString(confirmation_source::kStore));
  if (mHasQueriedPeers) {
    mFreshness.OnStoreRead(aStartedAt);
    return;
  }
  if (!std::exchange(mHasStartedFirstQuery, true)) {
    mRuntime.Spawn([self = shared_from_this(), aStartedAt] { self->ConfirmFirstRead(aStartedAt); });
  }
}

// Counts the first read of the store as a confirmation only after the peers have been queried. The
// store may have been restored from an older copy, which a process that has just started cannot
// detect without the revisions of its peers.
void settings_node::state::ConfirmFirstRead(instant aStartedAt)
{
  const std::vector<endpoint> peers = PeersToQuery(aStartedAt);
  auto pending = std::make_shared<std::size_t>(peers.size());
  for (const endpoint& each : peers) {
    mRuntime.Spawn([self = shared_from_this(), each, pending] {
      self->QueryPeer(each);
      --*pending;
    });
  }
  while (*pending > 0 && !mStopped) {
    SleepFor(kFirstQueryPollInterval);
  }
  mHasQueriedPeers = true;
  mFreshness.OnStoreRead(aStartedAt);
}

// Whether this process has to read the store itself. Members of the record always do. Other
// processes query the members of the record, and read the store only when the answers do not
// confirm their settings in time.
bool settings_node::state::NeedsStoreRead(instant aNow) const
{
  const freshness_check check = mFreshness.Check(aNow + mOptions.mBound / 2);
  return IsInRecord() || !check.IsFresh() || check.mSource == confirmation_source::kMajority;
}

void settings_node::state::RunStoreReads()
{
  backoff retryDelay(kReadInterval, kMaxReadBackoff, mRandom());
  while (!mStopped) {
    const instant now = monotonic_clock::now();
    const bool isNeeded = NeedsStoreRead(now);
    const bool hasRead = isNeeded && mFeed.CheckForNewer(now + kReadTimeout).has_value();
    if (hasRead || !isNeeded) {
      retryDelay.Reset();
      SleepFor(kReadInterval);
    } else {
      SleepFor(kReadInterval / 2 + retryDelay.Next());
    }
  }
}

std::vector<endpoint> settings_node::state::PeersToQuery(instant aNow)
{
  const member_record& record = mFeed.Record();
  std::set<endpoint> peers;
  const auto add = [&](const member& aMember) {
    if (aMember.mId != mOptions.mSelf.mId) {
      peers.insert(aMember.mPeer);
    }
  };
  std::ranges::for_each(record.mMembers, add);
  std::ranges::for_each(record.mPrevious, add);
  const bool staysConfirmed = mFreshness.Check(aNow + mOptions.mBound / 2).IsFresh();
  std::vector<endpoint> asked(peers.begin(), peers.end());
  if (peers.empty() || !staysConfirmed) {
    asked.insert(asked.end(), mOptions.mPeers.begin(), mOptions.mPeers.end());
  }
  if (staysConfirmed && record.mPrevious.empty()) {
    std::ranges::shuffle(asked, mRandom);
    asked.resize(std::min(asked.size(), kPeersPerQuery));
  }
  return asked;
}

void settings_node::state::QueryPeer(const endpoint& aPeer)
{
  const instant asked = monotonic_clock::now();
  const auto answer =
    mLink.SendRequest(aPeer, MakeFreshnessRequest(mFeed), asked + kPeerQueryTimeout);
  if (!answer || mStopped || !answer.value().has_freshness()) {
    return;
  }
  const wire::FreshnessAnswer& body = answer.value().freshness();
  mFeed.ApplyFromPeer(NewerValues(body));
  mFreshness.OnReport(ToReport(body), asked);
}

void settings_node::state::ReportFreshness()
{
  const freshness_check check = mFreshness.Check(monotonic_clock::now());
  if (check.IsFresh() && check.mSource != confirmation_source::kStore) {
    mMetrics.Count(kFreshnessConfirmations, ToString(check.mSource));
  }
  if (check.IsFresh() != mWasFresh) {
    LogEvent(check.IsFresh() ? kFreshnessBack : kFreshnessLost,
             { Field("reason", ToString(check.mReason)), Field("by", ToString(check.mSource)) });
  }
  mWasFresh = check.IsFresh();
}

void settings_node::state::RunPeerQueries()
{
  while (!mStopped) {
    ReportFreshness();
    for (const endpoint& each : PeersToQuery(monotonic_clock::now())) {
      mRuntime.Spawn([self = shared_from_this(), each] { self->QueryPeer(each); });
    }
    SleepFor(kPeerQueryInterval);
  }
}

// Only the first scheduler in the list of members writes the record, which avoids races. Should two
// processes write nevertheless, the compare-and-swap lets one of them succeed.
bool settings_node::state::IsRecordWriter() const
{
  const auto& live = mMembers.LiveMembers();
  const auto first = std::ranges::find(live, member_kind::kScheduler, &member::mKind);
  return first != live.end() && first->mId == mOptions.mSelf.mId;
}

void settings_node::state::WriteRecord(const member_record& aNext)
{
  const std::string value = Encode(aNext);
  swap_retry_request request{ std::string(kMemberRecordKey), mFeed.Record().mRevision, value, 0,
                              [&](const stored_value& aStored) {
                                return aStored.mValue == value;
                              } };
  backoff retryDelay(milliseconds(20), milliseconds(200), mRandom());
  swap_retry_result settled =
    SwapWithRetry(mStore, request, retryDelay, monotonic_clock::now() + kRecordWriteTimeout);
  // A store that was restored from an older copy has an older record than the one in force. The new
  // record follows the one in force, so it replaces the older one in the store.
  if (settled.mSwapOutcome == swap_outcome::kConflict &&
      settled.mCurrent.mModified < request.mExpected) {
    request.mExpected = settled.mCurrent.mModified;
    settled =
      SwapWithRetry(mStore, request, retryDelay, monotonic_clock::now() + kRecordWriteTimeout);
  }
  if (settled.mSwapOutcome == swap_outcome::kDone) {
    LogEvent(kRecordChanged,
             { Field("revision", settled.mRevision), Field("members", aNext.mMembers.size()),
               Field("previous", aNext.mPrevious.size()) });
  }
}

void settings_node::state::RunRecordUpdates()
{
  while (!mStopped) {
    SleepFor(kRecordUpdateInterval);
    const instant now = monotonic_clock::now();
    if (mStopped || !mFreshness.Report(now).mHasRead ||
        !mMembers.Refresh(now + kRecordWriteTimeout) || !IsRecordWriter()) {
      continue;
    }
    const member_record& record = mFeed.Record();
    const auto next = NextRecord(record, mMembers.LiveMembers(), [&](const member& aMember) {
      return mFreshness.HoldsRecord(aMember);
    });
    if (!next) {
      continue;
    }
    const bool removesMembers = std::ranges::any_of(record.mMembers, [&](const member& aMember) {
      return !ContainsMember(next->mMembers, aMember.mId);
    });
    if (!removesMembers || now - mMembers.UnchangedSince() >= kRemovalDelay) {
      WriteRecord(*next);
    }
  }
}

settings_node::settings_node(fiber_runtime& aRuntime, config_store& aStore, metrics& aMetrics,
                             settings_node_options aOptions)
  : mRuntime(aRuntime)
  , mState(std::make_shared<state>(aRuntime, aStore, aMetrics, std::move(aOptions)))
{
  mState->RegisterCallbacks();
}

settings_node::~settings_node()
{
  mState->Stop();
}

void settings_node::Start()
{
  mState->mFeed.Start();
  mState->mMembers.Start();
  mRuntime.Spawn([self = mState] { self->RunStoreReads(); });
  mRuntime.Spawn([self = mState] { self->RunPeerQueries(); });
  if (mState->mOptions.mSelf.mKind == member_kind::kScheduler) {
    mRuntime.Spawn([self = mState] { self->RunRecordUpdates(); });
  }
}

std::shared_ptr<const settings_view> settings_node::View() const
{
  return mState->mFeed.Book().View();
}

const settings_book& settings_node::Book() const
{
  return mState->mFeed.Book();
}

void settings_node::OnChange(std::function<void()> aObserver)
{
  mState->mOnChange = std::move(aObserver);
}

freshness_check settings_node::Check(instant aNow) const
{
  return mState->mFreshness.Check(aNow);
}

const member& settings_node::Self() const
{
  return mState->mOptions.mSelf;
}

const std::vector<member>& settings_node::Members() const
{
  return mState->mMembers.LiveMembers();
}

const member_record& settings_node::Record() const
{
  return mState->mFeed.Record();
}

peer_link& settings_node::Link()
{
  return mState->mLink;
}

http_response settings_node::InForce() const
{
  const freshness_check check = Check(monotonic_clock::now());
  const boost::json::object body{
    { "member", Self().mId },
    { "revision", Book().Revision() },
    { "record", mState->mFeed.Record().mRevision },
    { "freshness", ToString(check.mReason) },
    { "confirmedBy", ToString(check.mSource) },
  };
  return JsonResponse(200, boost::json::serialize(body));
}

void settings_node::Leave(instant aDeadline)
{
  mState->Stop();
  mState->mMembers.Leave(aDeadline);
}

} // namespace briarwind
