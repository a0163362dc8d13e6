#include "briarwind/settings_feed.h"

#include "briarwind/backoff.h"
#include "briarwind/settings_events.h"

#include <algorithm>
#include <array>
#include <utility>

namespace briarwind {

namespace {

constexpr milliseconds kListTime{ 2'000 };
constexpr milliseconds kFirstWait{ 50 };
constexpr milliseconds kLongestWait{ 2'000 };

std::string_view OutcomeName(book_outcome aOutcome)
{
  static constexpr std::array<std::string_view, 4> kNames{ "applied", "same", "older", "invalid" };
  return kNames.at(static_cast<std::size_t>(aOutcome));
}

store_revision NewestOf(const store_listing& aListing)
{
  store_revision newest = 0;
  for (const stored_value& each : aListing.mValues) {
    newest = std::max(newest, each.mModified);
  }
  return newest;
}

void Ignore() {}
void IgnoreInstant(instant) {}

} // namespace

struct settings_feed::state
{
  state(config_store& aStore, metrics& aMetrics, std::uint64_t aSeed)
    : mStore(aStore)
    , mMetrics(aMetrics)
    , mWait(kFirstWait, kLongestWait, aSeed)
  {
  }

  void Run();
  bool ListAndApply(instant aDeadline);
  void WatchOnce();
  void AfterCut();
  bool ApplyOne(const stored_value& aValue);
  bool ApplyRecord(const stored_value& aValue);
  void ApplyAll(const std::vector<stored_value>& aValues);
  void NoteStore(bool aAnswers);
  void NoteRegressed(store_revision aStoreRevision);
  io_result<void> ReadNow(instant aDeadline);

  config_store& mStore;
  metrics& mMetrics;
  backoff mWait;
  settings_book mBook;
  member_record mRecord;
  stored_value mStoredRecord;
  // Highest revision seen under the prefix, whether or not its value could be read.
  store_revision mSeen = 0;
  store_revision mWatchFrom = 0; // 0: list first
  bool mStopped = false;
  bool mStoreAnswers = true;
  bool mRegressed = false;
  std::function<void()> mOnChange = Ignore;
  std::function<void()> mOnOlder = Ignore;
  std::function<void(instant)> mOnConfirmed = IgnoreInstant;
};

void settings_feed::state::NoteStore(bool aAnswers)
{
  if (aAnswers != mStoreAnswers) {
    LogEvent(aAnswers ? kStoreBack : kStoreLost);
  }
  mStoreAnswers = aAnswers;
}

void settings_feed::state::NoteRegressed(store_revision aStoreRevision)
{
  if (!mRegressed) {
    LogEvent(kStoreRegressed, { Field("store", aStoreRevision), Field("held", mSeen) });
  }
  mRegressed = true;
}

bool settings_feed::state::ApplyRecord(const stored_value& aValue)
{
  if (aValue.mModified <= mRecord.mRevision) {
    return false;
  }
  auto record = Settle([&] { return DecodeMemberRecord(aValue); });
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
  mSeen = std::max(mSeen, aValue.mModified);
  if (aValue.mKey == kRecordKey) {
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

// No fiber runs between the values, so the others see all of them or none. Lower revisions come
// first: whoever holds a record also holds the settings that were committed before it.
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
  const instant begun = monotonic_clock::now();
  const auto listing = mStore.List(kSettingsAndRecordPrefix, aDeadline);
  NoteStore(listing.has_value());
  if (!listing) {
    return false;
  }
  const store_listing& listed = listing.value();
  const int missing = mBook.CountMissing(listed);
  const bool isOlder = listed.mRevision < mSeen || NewestOf(listed) < mSeen || missing > 0;
  ApplyAll(listed.mValues);
  mWatchFrom = listed.mRevision + 1;
  if (isOlder) {
    NoteRegressed(listed.mRevision);
    mOnOlder();
    return true;
  }
  mRegressed = false;
  mOnConfirmed(begun);
  return true;
}

void settings_feed::state::WatchOnce()
{
  const watch_end ended =
    mStore.Watch(kSettingsAndRecordPrefix, mWatchFrom, [this](const watch_batch& aBatch) {
      std::vector<stored_value> values;
      for (const store_change& each : aBatch.mChanges) {
        mWatchFrom = std::max(mWatchFrom, each.mValue.mModified + 1);
        // Only a record that says so deletes a subtree.
        if (each.mDeleted) {
          mMetrics.Count(kSettingsOffers, "deleted-outside");
        } else {
          values.push_back(each.mValue);
        }
      }
      ApplyAll(values);
      mWait.Reset();
      return !mStopped;
    });
  if (ended == watch_end::kCompacted) {
    LogEvent(kWatchCompacted, { Field("from", mWatchFrom) });
    mWatchFrom = 0;
  }
}

// A store that went back to an older revision would keep a watch from a later one waiting.
void settings_feed::state::AfterCut()
{
  SleepFor(mWait.Next());
  if (mStopped || mWatchFrom == 0) {
    return;
  }
  const auto newest = mStore.Newest(kSettingsAndRecordPrefix, monotonic_clock::now() + kListTime);
  NoteStore(newest.has_value());
  if (newest && newest.value().mRevision + 1 < mWatchFrom) {
    mWatchFrom = 0;
  }
}

void settings_feed::state::Run()
{
  while (!mStopped) {
    if (mWatchFrom != 0 || ListAndApply(monotonic_clock::now() + kListTime)) {
      WatchOnce();
    }
    if (!mStopped) {
      AfterCut();
    }
  }
}

io_result<void> settings_feed::state::ReadNow(instant aDeadline)
{
  const instant begun = monotonic_clock::now();
  auto newest = mStore.Newest(kSettingsAndRecordPrefix, aDeadline);
  NoteStore(newest.has_value());
  if (!newest) {
    return boost::outcome_v2::failure(std::move(newest).error());
  }
  const store_revision revision = NewestOf(newest.value());
  if (revision < mSeen || newest.value().mRevision < mSeen) {
    NoteRegressed(newest.value().mRevision);
    // The watch waits at a revision that such a store has yet to reach, so it misses what is
    // written below it.
    ListAndApply(aDeadline);
    return IoError(error_kind::kConflict, "store", "older than what is in force");
  }
  if (revision == mSeen && !mRegressed) {
    mOnConfirmed(begun);
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
  mState->mOnChange = Ignore;
  mState->mOnOlder = Ignore;
  mState->mOnConfirmed = IgnoreInstant;
}

void settings_feed::Start()
{
  mRuntime.Spawn([keep = mState] { keep->Run(); });
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

void settings_feed::OnOlder(std::function<void()> aObserver)
{
  mState->mOnOlder = std::move(aObserver);
}

void settings_feed::OnConfirmed(std::function<void(instant)> aObserver)
{
  mState->mOnConfirmed = std::move(aObserver);
}

void settings_feed::Offer(const std::vector<stored_value>& aValues)
{
  mState->ApplyAll(aValues);
}

io_result<void> settings_feed::ReadNow(instant aDeadline)
{
  const std::shared_ptr<state> keep = mState;
  return keep->ReadNow(aDeadline);
}

} // namespace briarwind
