#include "run_pace.h"

#include "briarwind/testing.h"

#include <array>
#include <vector>

using namespace briarwind;

namespace {

constexpr milliseconds kReportInterval{ 800 };
constexpr std::array kLengths{ milliseconds(100),       milliseconds(1'000),
                               milliseconds(10'000),    milliseconds(100'000),
                               milliseconds(3'600'000), milliseconds(86'400'000) };

// How a task is run: its length is that on a worker of usual speed near its data.
struct course
{
  milliseconds mLength{ 0 };
  milliseconds mDeclared{ 0 };
  double mSlowdown = 1; ///< of the worker, all the time
  bool mIsRemote = false;
  int mFromPercent = 0;         ///< above 0: resumed from a checkpoint
  double mStallsAt = 2;         ///< part of the work at which the run stalls; above 1: never
  milliseconds mSlowFrom{ -1 }; ///< begin of 6 s in which the worker is five times slower
  std::optional<milliseconds> mPeers;
};

// Follows the run through its reports. Returns when it is detected as stalled, counted from the
// start or, if it stalls, from the stall; nullopt if it ends first.
std::optional<milliseconds> DetectedAfter(const course& aCourse)
{
  const work_options options;
  const double usual = static_cast<double>(aCourse.mLength.count()) * aCourse.mSlowdown *
                       (aCourse.mIsRemote ? kRemoteFactor : 1);
  const bool isResumed = aCourse.mFromPercent > 0;
  const instant start = instant() + std::chrono::hours(1);
  run_pace pace = isResumed ? run_pace() : run_pace(start);
  double done = aCourse.mFromPercent / 100.0;
  double stalledAfter = 0;
  int percent = -1;
  instant progress = start;
  for (instant now = start + kReportInterval;; now += kReportInterval) {
    const bool isSlow = aCourse.mSlowFrom.count() >= 0 && now > start + aCourse.mSlowFrom &&
                        now <= start + aCourse.mSlowFrom + milliseconds(6'000);
    const double gain = static_cast<double>(kReportInterval.count()) / usual / (isSlow ? 5.0 : 1.0);
    if (done < aCourse.mStallsAt && done + gain >= aCourse.mStallsAt) {
      stalledAfter = static_cast<double>((now - kReportInterval - start) / milliseconds(1)) +
                     (aCourse.mStallsAt - done) * usual;
    }
    done = std::min(done + gain, std::max(aCourse.mStallsAt, done));
    if (done >= 1) {
      return std::nullopt;
    }
    const int listed = static_cast<int>(done * 100 + 1e-9);
    pace.Observe(listed, now);
    if (listed != percent) {
      percent = listed;
      progress = now;
      continue;
    }
    const pace_evidence evidence{ pace.TimePerPercent(options.mLongPollWait),
                                  aCourse.mPeers,
                                  {},
                                  aCourse.mDeclared,
                                  aCourse.mIsRemote,
                                  0 };
    if (now - progress > MaxTimeWithoutProgress(evidence, options)) {
      const auto after = std::chrono::duration_cast<milliseconds>(now - start);
      return after - milliseconds(static_cast<std::int64_t>(stalledAfter));
    }
  }
}

// The ways in which the table of docs/design/long-tasks.md has a task run.
std::vector<course> Courses(milliseconds aLength, bool aIsDeclaredLow)
{
  course sound;
  sound.mLength = aLength;
  sound.mDeclared = std::max(aIsDeclaredLow ? aLength / 20 : aLength, milliseconds(1));
  course slow = sound;
  slow.mSlowdown = 1.25;
  slow.mSlowFrom = milliseconds(0);
  course remote = sound;
  remote.mIsRemote = true;
  course resumed = sound;
  resumed.mFromPercent = 40;
  return { sound, slow, remote, resumed };
}

// When the run is detected, in milliseconds after it stalls.
std::vector<std::int64_t> DetectionTimes(milliseconds aLength, bool aIsDeclaredLow,
                                         double aStallsAt, bool aHasPeers)
{
  std::vector<std::int64_t> row;
  for (course each : Courses(aLength, aIsDeclaredLow)) {
    each.mStallsAt = each.mFromPercent / 100.0 + aStallsAt;
    if (aHasPeers) {
      each.mPeers = aLength / 100;
    }
    row.push_back(DetectedAfter(each).value_or(milliseconds{ -1 }).count());
  }
  return row;
}

} // namespace

// Guards against runs that are stopped as stalled although they progress: percentages are whole
// numbers, so a run of an hour shows no change for 36 s.
BW_STORY("runs of 0.1 s to 24 h progress and are not stopped as stalled")
{
  for (const milliseconds length : kLengths) {
    for (const bool isDeclaredLow : { false, true }) {
      for (const course& each : Courses(length, isDeclaredLow)) {
        BW_CHECK(!DetectedAfter(each));
        course withPeers = each;
        withPeers.mPeers = length / 100;
        BW_CHECK(!DetectedAfter(withPeers));
        for (int i = 0; i < 40; ++i) {
          course slowed = each;
          slowed.mSlowFrom = i < 20 ? milliseconds(400 * i) : length * (i - 20) / 20;
          BW_CHECK(!DetectedAfter(slowed));
        }
      }
    }
  }
}

// Guards the times of detection: a run that stalls is to be detected as soon as its evidence
// allows. These are the figures of docs/design/long-tasks.md.
BW_STORY("runs of 0.1 s to 24 h stall and are detected")
{
  struct expected
  {
    bool mIsDeclaredLow;
    std::vector<std::int64_t> mHalfway;   ///< sound, slow, remote, resumed
    std::vector<std::int64_t> mAtStart;   ///< of the same
    std::vector<std::int64_t> mWithPeers; ///< at the start, beside tasks of the step at work
  };
  const std::vector<expected> table{
    { false,
      { 2'350, 2'338, 2'250, 2'350 },
      { 2'400, 2'400, 2'400, 2'400 },
      { 2'400, 2'400, 2'400, 2'400 } },
    { true,
      { 2'350, 2'338, 2'250, 2'350 },
      { 2'400, 2'400, 2'400, 2'400 },
      { 2'400, 2'400, 2'400, 2'400 } },
    { false,
      { 1'900, 2'255, 1'700, 2'700 },
      { 3'200, 3'200, 6'400, 3'200 },
      { 2'400, 2'400, 2'400, 2'400 } },
    { true,
      { 1'900, 2'255, 1'700, 1'900 },
      { 2'400, 2'400, 2'400, 2'400 },
      { 2'400, 2'400, 2'400, 2'400 } },
    { false,
      { 2'200, 2'870, 3'401, 2'200 },
      { 10'400, 10'400, 16'000, 10'400 },
      { 2'400, 2'400, 4'000, 2'400 } },
    { true,
      { 2'200, 2'870, 3'401, 2'200 },
      { 2'400, 2'400, 4'000, 2'400 },
      { 2'400, 2'400, 4'000, 2'400 } },
    { false,
      { 9'201, 10'621, 15'600, 9'201 },
      { 37'600, 37'600, 97'600, 37'600 },
      { 9'600, 9'600, 16'000, 9'600 } },
    { true,
      { 9'201, 10'621, 15'600, 9'201 },
      { 8'800, 8'800, 12'000, 8'800 },
      { 9'600, 9'600, 16'000, 9'600 } },
    { false,
      { 114'401, 142'320, 330'400, 114'401 },
      { 1'087'200, 1'087'200, 3'247'200, 1'087'200 },
      { 115'200, 115'200, 331'200, 115'200 } },
    { true,
      { 114'401, 142'320, 330'400, 114'401 },
      { 61'600, 61'600, 169'600, 61'600 },
      { 115'200, 115'200, 331'200, 115'200 } },
    { false,
      { 2'598'401, 3'246'720, 7'782'401, 2'598'400 },
      { 25'927'200, 25'927'200, 77'767'200, 25'927'200 },
      { 2'599'200, 2'599'200, 7'783'200, 2'599'200 } },
    { true,
      { 2'598'401, 3'246'720, 7'782'401, 2'598'400 },
      { 1'303'200, 1'303'200, 3'895'200, 1'303'200 },
      { 2'599'200, 2'599'200, 7'783'200, 2'599'200 } },
  };
  for (std::size_t i = 0; i < table.size(); ++i) {
    const milliseconds length = kLengths.at(i / 2);
    const expected& row = table[i];
    BW_CHECK(row.mHalfway == DetectionTimes(length, row.mIsDeclaredLow, 0.5, false));
    BW_CHECK(row.mAtStart == DetectionTimes(length, row.mIsDeclaredLow, 0, false));
    BW_CHECK(row.mWithPeers == DetectionTimes(length, row.mIsDeclaredLow, 0, true));
  }
}
