#include "briarwind/settings_feed.h"

#include "briarwind/backoff.h"
#include "briarwind/settings_events.h"

#include <algorithm>
#include <array>
#include <utility>

namespace briarwind {

namespace {

constexpr milliseconds kListTimeout{ 2'000 };
constexpr milliseconds kInitialRetryDelay{ 50 };
constexpr milliseconds kMaxRetryDelay{ 2'000 };

std::string_view OutcomeName(book_outcome aOutcome)
{
  static constexpr std::array<std::string_view, 4> kNames{ "applied", "same", "older", "invalid" };
  return kNames.at(static_cast<std::size_t>(aOutcome));
}

store_revision NewestRevision(const store_listing& aListing)
{
  store_revision newest = 0;
  for (const stored_value& each : aListing.mValues) {
    newest = std::max(newest, each.mModified);
  }
  return newest;
}

void DoNothing() {}
void DoNothingAt(instant) {}

} // namespace

struct settings_feed::state
{
  state(config_store& aStore, metrics& aMetrics, std::uint64_t aSeed)
    : mStore(aStore)
    , mMetrics(aMetrics)
    , mRetryDelay(kInitialRetryDelay, kMaxRetryDelay, aSeed)
  {
  }

  void Run();
  bool ListAndApply(instant aDeadline);
  void WatchOnce();
  void PrepareNextWatch();
  bool ApplyOne(const stored_value& aValue);
  bool ApplyRecord(const stored_value& aValue);
  void ApplyAll(const std::vector<stored_value>& aValues);
  void UpdateStoreReachable(bool aReachable);
  void LogRegression(store_revision aStoreRevision);
  io_result<void> CheckForNewer(instant aDeadline);

  config_store& mStore;
  metrics& mMetrics;
  backoff mRetryDelay;
  settings_book mBook;
  member_record mRecord;
  stored_value mStoredRecord;
  // Highest revision received of any key under the prefix, whether or not its value could be
  // decoded.
  store_revision mHighestRevision = 0;
  // First revision to watch; 0: list everything before the next watch.
  store_revision mWatchFrom = 0;
  bool mStopped = false;
  bool mStoreReachable = true;
  bool mStoreRegressed = false;
  std::function<void()> mOnChange = DoNothing;
  std::function<void()> mOnOlderListing = DoNothing;
  std::function<void(instant)> mOnConfirmed = DoNothingAt;
};

void settings_feed::state::UpdateStoreReachable(bool aReachable)
{
  if (aReachable != mStoreReachable) {
    LogEvent(aReachable ? kStoreBack : kStoreLost);
  }
  mStoreReachable = aReachable;
}

void settings_feed::state::LogRegression(store_revision aStoreRevision)
{
  if (!mStoreRegressed) {
    LogEvent(kStoreRegressed, { Field("store", aStoreRevision), Field("held", mHighestRevision) });
  }
  mStoreRegressed = true;
}

bool settings_feed::state::ApplyRecord(const stored_value& aValue)
{
  if (aValue.mModified <= mRecord.mRevision) {
    return false;
  }
  auto record = ToIoResult([&] { return DecodeMemberRecord(aValue); });
  if (!record) {
    LogEvent(kSettingsInvalid, { Field("key", aValue.mKey), Field("what", record.error().mWhat) });
    return false;
  }
  mRecord = std::move(record).value();
  mStoredRecord = aValue;
  return true;
}

bool settings_feed::state::ApplyOne(const stored_value& aValue)
{
  mHighestRevision = std::max(mHighestRevision, aValue.mModified);
  if (aValue.mKey == kMemberRecordKey) {
    return ApplyRecord(aValue);
  }
  const book_outcome outcome = mBook.Apply(aValue);
  mMetrics.Count(kSettingsOffers, OutcomeName(outcome));
  if (outcome == book_outcome::kInvalid) {
    LogEvent(kSettingsInvalid, { Field("key", aValue.mKey), Field("revision", aValue.mModified) });
  }
  if (outcome == book_outcome::kApplied) {
    LogEvent(kSettingsApplied, { Field("key", aValue.mKey), Field("revision", aValue.mModified) });
  }
  return outcome == book_outcome::kApplied;
}

// Applies the values without a fiber switch in between, so other fibers see all of them or none.
// Applies them in the order of their revisions, so that a process that has a member record also has
// the settings that were committed before it.
void settings_feed::state::ApplyAll(const std::vector<stored_value>& aValues)
{
  std::vector<stored_value> sorted = aValues;
  std::ranges::sort(sorted, {}, &stored_value::mModified);
  bool hasChanged = false;
  for (const stored_value& each : sorted) {
    hasChanged = ApplyOne(each) || hasChanged;
  }
  if (hasChanged) {
    mMetrics.Set(kSettingsRevision, static_cast<double>(mBook.Revision()));
    mOnChange();
  }
}

bool settings_feed::state::ListAndApply(instant aDeadline)
{
  const instant startedAt = monotonic_clock::now();
  const auto listing = mStore.List(kSettingsAndRecordPrefix, aDeadline);
  UpdateStoreReachable(listing.has_value());
  if (!listing) {
    return false;
  }
  const store_listing& listed = listing.value();
  const int missing = mBook.CountMissing(listed);
  const bool isOlder =
    listed.mRevision < mHighestRevision || NewestRevision(listed) < mHighestRevision || missing > 0;
  ApplyAll(listed.mValues);
  mWatchFrom = listed.mRevision + 1;
  if (isOlder) {
    LogRegression(listed.mRevision);
    mOnOlderListing();
    return true;
  }
  mStoreRegressed = false;
  mOnConfirmed(startedAt);
  return true;
}

void settings_feed::state::WatchOnce()
{
  const watch_end end =
    mStore.Watch(kSettingsAndRecordPrefix, mWatchFrom, [this](const watch_batch& aBatch) {
      std::vector<stored_value> values;
      for (const store_change& each : aBatch.mChanges) {
        mWatchFrom = std::max(mWatchFrom, each.mValue.mModified + 1);
        // A deleted key does not delete the subtree: only a stored record that marks the subtree as
        // deleted does.
        if (each.mDeleted) {
          mMetrics.Count(kSettingsOffers, "deleted-outside");
        } else {
          values.push_back(each.mValue);
        }
      }
      ApplyAll(values);
      mRetryDelay.Reset();
      return !mStopped;
    });
  if (end == watch_end::kCompacted) {
    LogEvent(kWatchCompacted, { Field("from", mWatchFrom) });
    mWatchFrom = 0;
  }
}

// Waits, then checks whether the store still has the revision from which the watch is to resume. In
// a store that was restored from an older copy, a watch from a later revision would wait without
// reporting changes, so everything is listed again.
void settings_feed::state::PrepareNextWatch()
{
  SleepFor(mRetryDelay.Next());
  if (mStopped || mWatchFrom == 0) {
    return;
  }
  const auto newest =
    mStore.ListNewest(kSettingsAndRecordPrefix, monotonic_clock::now() + kListTimeout);
  UpdateStoreReachable(newest.has_value());
  if (newest && newest.value().mRevision + 1 < mWatchFrom) {
    mWatchFrom = 0;
  }
}

void settings_feed::state::Run()
{
  while (!mStopped) {
    if (mWatchFrom != 0 || ListAndApply(monotonic_clock::now() + kListTimeout)) {
      WatchOnce();
    }
    if (!mStopped) {
      PrepareNextWatch();
    }
  }
}

io_result<void> settings_feed::state::CheckForNewer(instant aDeadline)
{
  const instant startedAt = monotonic_clock::now();
  auto newest = mStore.ListNewest(kSettingsAndRecordPrefix, aDeadline);
  UpdateStoreReachable(newest.has_value());
  if (!newest) {
    return boost::outcome_v2::failure(std::move(newest).error());
  }
  const store_revision revision = NewestRevision(newest.value());
  if (revision < mHighestRevision || newest.value().mRevision < mHighestRevision) {
    LogRegression(newest.value().mRevision);
    // The watch starts at a revision that the regressed store has yet to reach, so it misses
    // changes written at lower revisions; a listing finds them.
    ListAndApply(aDeadline);
    return IoError(error_kind::kConflict, "store", "older than what is in force");
  }
  if (revision == mHighestRevision && !mStoreRegressed) {
    mOnConfirmed(startedAt);
    return boost::outcome_v2::success();
  }
  if (!ListAndApply(aDeadline)) {
    return IoError(error_kind::kUnavailable, "store", "no listing");
  }
  return boost::outcome_v2::success();
}

settings_feed::settings_feed(fiber_runtime& aRuntime, config_store& aStore, metrics& aMetrics,
                             std::uint64_t aSeed)
  : mRuntime(aRuntime)
  , mState(std::make_shared<state>(aStore, aMetrics, aSeed))
{
}

settings_feed::~settings_feed()
{
  Stop();
  mState->mOnChange = DoNothing;
  mState->mOnOlderListing = DoNothing;
  mState->mOnConfirmed = DoNothingAt;
}

void settings_feed::Start()
{
  mRuntime.Spawn([self = mState] { self->Run(); });
}

void settings_feed::Stop()
{
  mState->mStopped = true;
}

const settings_book& settings_feed::Book() const
{
  return mState->mBook;
}

const member_record& settings_feed::Record() const
{
  return mState->mRecord;
}

const stored_value& settings_feed::StoredRecord() const
{
  return mState->mStoredRecord;
}

void settings_feed::OnChange(std::function<void()> aObserver)
{
  mState->mOnChange = std::move(aObserver);
}

void settings_feed::OnOlderListing(std::function<void()> aObserver)
{
  mState->mOnOlderListing = std::move(aObserver);
}

void settings_feed::OnConfirmed(std::function<void(instant)> aObserver)
{
  mState->mOnConfirmed = std::move(aObserver);
}

void settings_feed::ApplyFromPeer(const std::vector<stored_value>& aValues)
{
  mState->ApplyAll(aValues);
}

io_result<void> settings_feed::CheckForNewer(instant aDeadline)
{
  const std::shared_ptr<state> self = mState;
  return self->CheckForNewer(aDeadline);
}

} // namespace briarwind
