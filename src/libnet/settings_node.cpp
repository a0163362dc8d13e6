#include "briarwind/settings_node.h"

#include "briarwind/membership.h"
#include "briarwind/settings_events.h"
#include "briarwind/settings_feed.h"
#include "briarwind/settled_swap.h"
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
constexpr milliseconds kReadTime{ 600 };
constexpr milliseconds kLongestReadWait{ 3'000 };
constexpr milliseconds kAskInterval{ 400 };
constexpr milliseconds kAskTime{ 600 };
constexpr milliseconds kMeetStep{ 5 };
constexpr std::size_t kAskedPeers = 2;
constexpr milliseconds kRecordInterval{ 500 };
constexpr milliseconds kRecordWriteTime{ 1'000 };
// Members whose leases lapsed in an outage of the store are back well within this time.
constexpr milliseconds kRemovalDelay{ 6'000 };

bool IsIn(const std::vector<member>& aMembers, const std::string& aId)
{
  return std::ranges::find(aMembers, aId, &member::mId) != aMembers.end();
}

wire::PeerAnswer RefuseEnded(const wire::PeerRequest&)
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
    , mOptions(Named(std::move(aOptions)))
    , mRandom(mOptions.mSeed)
    , mLink(aRuntime, mOptions.mSelf.mId, aMetrics)
    , mFeed(aRuntime, aStore, aMetrics, mRandom())
    , mMembers(aRuntime, aStore, Listening(), mRandom())
    , mFreshness(mOptions.mSelf.mId, mOptions.mBound)
  {
  }

  // The link may answer a little longer than this state lives.
  ~state() { mLink.Handle(wire::PeerRequest::kFreshness, RefuseEnded); }
  state(const state&) = delete;
  state& operator=(const state&) = delete;

  static settings_node_options Named(settings_node_options aOptions)
  {
    if (aOptions.mSelf.mId.empty()) {
      aOptions.mSelf.mId = MakeMemberId(aOptions.mSelf, std::mt19937_64(aOptions.mSeed)());
    }
    return aOptions;
  }

  const member& Listening()
  {
    mOptions.mSelf.mPeer = mLink.Listen(mOptions.mSelf.mPeer);
    return mOptions.mSelf;
  }

  // Fibers that still sleep hold this state, so its parts are stopped by name.
  void Stop();
  bool IsInRecord() const { return IsIn(mFeed.Record().mMembers, mOptions.mSelf.mId); }
  void Connect();
  void OnFeedChange();
  void OnStoreRead(instant aBegun);
  void MeetPeers(instant aBegun);
  bool NeedsOwnRead(instant aNow) const;
  void KeepReading();
  std::vector<endpoint> PeersToAsk(instant aNow);
  void AskOne(const endpoint& aPeer);
  void KeepAsking();
  void NoteFreshness();
  bool IsRecordWriter() const;
  void KeepRecord();
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
  store_revision mAnnounced = 0;
  bool mWasFresh = false;
  bool mIsMeeting = false;
  bool mHasMetPeers = false;
  bool mStopped = false;
};

void settings_node::state::Connect()
{
  mFeed.OnChange([this] { OnFeedChange(); });
  mFeed.OnOlder([this] { mFreshness.OnOlderStoreRead(); });
  mFeed.OnConfirmed([this](instant aBegun) { OnStoreRead(aBegun); });
  mLink.Handle(wire::PeerRequest::kFreshness, [this](const wire::PeerRequest& aRequest) {
    const instant now = monotonic_clock::now();
    return FreshnessAnswerOf(mFreshness.Report(now), mFreshness.Check(now), mFeed,
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
  mFreshness.OnHeld(mFeed.Book().Revision());
  mFreshness.OnRecord(mFeed.Record());
  if (mFeed.Book().Revision() != mAnnounced) {
    mAnnounced = mFeed.Book().Revision();
    mOnChange();
  }
}

void settings_node::state::OnStoreRead(instant aBegun)
{
  mMetrics.Count(kFreshnessConfirmations, ToString(confirmation_source::kStore));
  if (mHasMetPeers) {
    mFreshness.OnStoreRead(aBegun);
    return;
  }
  if (!std::exchange(mIsMeeting, true)) {
    mRuntime.Spawn([keep = shared_from_this(), aBegun] { keep->MeetPeers(aBegun); });
  }
}

// The store may have come back with an older copy, which a process without a memory of its own
// cannot tell. So its first read counts only once it has asked the others what they hold.
void settings_node::state::MeetPeers(instant aBegun)
{
  const std::vector<endpoint> peers = PeersToAsk(aBegun);
  auto left = std::make_shared<std::size_t>(peers.size());
  for (const endpoint& each : peers) {
    mRuntime.Spawn([keep = shared_from_this(), each, left] {
      keep->AskOne(each);
      --*left;
    });
  }
  while (*left > 0 && !mStopped) {
    SleepFor(kMeetStep);
  }
  mHasMetPeers = true;
  mFreshness.OnStoreRead(aBegun);
}

// The members of the record read the store for all; the others ask them, and read themselves when
// that does not confirm their view in time.
bool settings_node::state::NeedsOwnRead(instant aNow) const
{
  const freshness_check check = mFreshness.Check(aNow + mOptions.mBound / 2);
  return IsInRecord() || !check.IsFresh() || check.mSource == confirmation_source::kMajority;
}

void settings_node::state::KeepReading()
{
  backoff pause(kReadInterval, kLongestReadWait, mRandom());
  while (!mStopped) {
    const instant now = monotonic_clock::now();
    const bool isNeeded = NeedsOwnRead(now);
    const bool hasRead = isNeeded && mFeed.ReadNow(now + kReadTime).has_value();
    if (hasRead || !isNeeded) {
      pause.Reset();
      SleepFor(kReadInterval);
    } else {
      SleepFor(kReadInterval / 2 + pause.Next());
    }
  }
}

std::vector<endpoint> settings_node::state::PeersToAsk(instant aNow)
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
  const bool isConfirmedForLong = mFreshness.Check(aNow + mOptions.mBound / 2).IsFresh();
  std::vector<endpoint> asked(peers.begin(), peers.end());
  if (peers.empty() || !isConfirmedForLong) {
    asked.insert(asked.end(), mOptions.mPeers.begin(), mOptions.mPeers.end());
  }
  if (isConfirmedForLong && record.mPrevious.empty()) {
    std::ranges::shuffle(asked, mRandom);
    asked.resize(std::min(asked.size(), kAskedPeers));
  }
  return asked;
}

void settings_node::state::AskOne(const endpoint& aPeer)
{
  const instant asked = monotonic_clock::now();
  const auto answer = mLink.Ask(aPeer, FreshnessRequestOf(mFeed), asked + kAskTime);
  if (!answer || mStopped || !answer.value().has_freshness()) {
    return;
  }
  const wire::FreshnessAnswer& body = answer.value().freshness();
  mFeed.Offer(HandedOver(body));
  mFreshness.OnReport(ReportOf(body), asked);
}

void settings_node::state::NoteFreshness()
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

void settings_node::state::KeepAsking()
{
  while (!mStopped) {
    NoteFreshness();
    for (const endpoint& each : PeersToAsk(monotonic_clock::now())) {
      mRuntime.Spawn([keep = shared_from_this(), each] { keep->AskOne(each); });
    }
    SleepFor(kAskInterval);
  }
}

// One scheduler writes, so that the others do not race it; compare-and-swap decides all the same.
bool settings_node::state::IsRecordWriter() const
{
  const auto& live = mMembers.Live();
  const auto first = std::ranges::find(live, member_kind::kScheduler, &member::mKind);
  return first != live.end() && first->mId == mOptions.mSelf.mId;
}

void settings_node::state::WriteRecord(const member_record& aNext)
{
  const std::string value = Encode(aNext);
  settled_request request{ std::string(kRecordKey), mFeed.Record().mRevision, value, 0,
                           [&](const stored_value& aStored) { return aStored.mValue == value; } };
  backoff pause(milliseconds(20), milliseconds(200), mRandom());
  settled_result settled =
    SettledSwap(mStore, request, pause, monotonic_clock::now() + kRecordWriteTime);
  // A store that came back with an older copy has an older record; the next one follows the one
  // held.
  if (settled.mFate == swap_fate::kConflict && settled.mCurrent.mModified < request.mExpected) {
    request.mExpected = settled.mCurrent.mModified;
    settled = SettledSwap(mStore, request, pause, monotonic_clock::now() + kRecordWriteTime);
  }
  if (settled.mFate == swap_fate::kDone) {
    LogEvent(kRecordChanged,
             { Field("revision", settled.mRevision), Field("members", aNext.mMembers.size()),
               Field("previous", aNext.mPrevious.size()) });
  }
}

void settings_node::state::KeepRecord()
{
  while (!mStopped) {
    SleepFor(kRecordInterval);
    const instant now = monotonic_clock::now();
    if (mStopped || !mFreshness.Report(now).mHasRead || !mMembers.Refresh(now + kRecordWriteTime) ||
        !IsRecordWriter()) {
      continue;
    }
    const member_record& record = mFeed.Record();
    const auto next = NextRecord(record, mMembers.Live(), [&](const member& aMember) {
      return mFreshness.HoldsRecord(aMember);
    });
    if (!next) {
      continue;
    }
    const bool removes = std::ranges::any_of(
      record.mMembers, [&](const member& aMember) { return !IsIn(next->mMembers, aMember.mId); });
    if (!removes || now - mMembers.SameSince() >= kRemovalDelay) {
      WriteRecord(*next);
    }
  }
}

settings_node::settings_node(fiber_runtime& aRuntime, config_store& aStore, metrics& aMetrics,
                             settings_node_options aOptions)
  : mRuntime(aRuntime)
  , mState(std::make_shared<state>(aRuntime, aStore, aMetrics, std::move(aOptions)))
{
  mState->Connect();
}

settings_node::~settings_node()
{
  mState->Stop();
}

void settings_node::Start()
{
  mState->mFeed.Start();
  mState->mMembers.Start();
  mRuntime.Spawn([keep = mState] { keep->KeepReading(); });
  mRuntime.Spawn([keep = mState] { keep->KeepAsking(); });
  if (mState->mOptions.mSelf.mKind == member_kind::kScheduler) {
    mRuntime.Spawn([keep = mState] { keep->KeepRecord(); });
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
  return mState->mMembers.Live();
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
