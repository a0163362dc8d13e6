#pragma once

#include "briarwind/work_model.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace briarwind {

/// Number of a kind of task; 0 is no kind. Numbers are not used again.
using task_kind = std::int64_t;

/// Name of the kind that tasks of the step belong to: the image, or queue and step without one.
std::string TaskKindName(const work_job& aJob, int aStep);

/// The first kind is slowed down beside the second.
struct kind_pair
{
  task_kind mSlowed = 0;
  task_kind mBeside = 0;

  auto operator<=>(const kind_pair&) const = default;
};

/// How fast one run went during a period in which the kinds on its worker did not change.
struct pace_sample
{
  task_kind mKind = 0;
  std::string mStep; ///< runs with the same text do equal work
  std::string mWorker;
  std::vector<task_kind> mNeighbours; ///< other kinds on the worker
  double mPace = 0;                   ///< above 0; of the same unit for all runs of the step
};

/// Learns which kinds of tasks slow each other down on one worker. A run is compared with runs of
/// its own step, or with itself, at times without the neighbour. No clock and no randomness.
class interference_model
{
public:
  enum class change_kind : std::uint8_t
  {
    kLearned,
    kForgotten,
  };
  struct pair_change
  {
    change_kind mKind = change_kind::kLearned;
    kind_pair mPair;
    std::string mSlowed;
    std::string mBeside;
    double mSlowdown = 0; ///< share of the pace that is lost
  };

  /// Number of the kind with this name; a new one if it is not known.
  task_kind KindOf(const std::string& aName);
  /// 0 if the kind is not known.
  task_kind FindKind(const std::string& aName) const;
  const std::string& NameOf(task_kind aKind) const;

  void Add(const pace_sample& aSample, instant aNow);
  /// Forgets what is too old.
  void Expire(instant aNow);
  /// Kinds that slow this one or are slowed by it, in ascending order.
  const std::vector<task_kind>& InterferingWith(task_kind aKind) const;
  /// Share of the pace that the first kind loses; nullopt unless the pair is known to interfere.
  std::optional<double> Slowdown(const kind_pair& aPair) const;

  std::size_t Pairs() const { return mPairs.size(); }
  std::size_t KnownPairs() const { return mKnown.size(); }
  /// Returns the changes since the last call.
  std::vector<pair_change> TakeChanges();

private:
  /// Mean of logarithms of paces; older samples weigh less with each new one.
  struct mean_pace
  {
    double mMean = 0;
    int mCount = 0;

    void Add(double aValue);
  };
  struct beside_pace
  {
    mean_pace mPace;
    mean_pace mWithout;
    std::string mWorker; ///< of the last sample beside the neighbour
  };
  /// Paces of the runs of one step.
  struct step_paces
  {
    mean_pace mAll;
    mean_pace mAlone;         ///< without neighbours of other kinds
    std::string mAloneWorker; ///< of the last such sample
    std::map<task_kind, beside_pace> mBeside;
    std::int64_t mLastUsed = 0;
  };
  /// How much faster than other runs of their steps the runs of a worker are without neighbours.
  struct worker_pace
  {
    mean_pace mOffset;
    std::int64_t mLastUsed = 0;
  };
  struct vote
  {
    std::string mWorker;
    double mChange = 0; ///< of the logarithm of the pace
    instant mAt;
  };
  struct pair_entry
  {
    std::vector<vote> mVotes; ///< one for each worker
    bool mKnown = false;
    double mSlowdown = 0;
  };

  step_paces& StepPaces(const std::string& aStep);
  double WorkerOffset(const std::string& aWorker) const;
  void AddWorkerPace(const std::string& aWorker, double aOffset);
  void AddVote(const kind_pair& aPair, const std::string& aWorker, double aChange, instant aNow);
  void Judge(const kind_pair& aPair, pair_entry& aEntry, instant aNow);
  static double Weight(const pair_entry& aEntry, instant aNow);
  static double SlowdownAt(const pair_entry& aEntry, double aWeight, instant aNow);
  void SetKnown(const kind_pair& aPair, pair_entry& aEntry, bool aKnown);
  void DiscardLeastCertain(instant aNow);
  void DropKind(task_kind aKind);

  struct kind_entry
  {
    task_kind mNumber = 0;
    std::int64_t mLastUsed = 0;
  };
  std::map<std::string, kind_entry> mKinds;
  std::map<task_kind, std::string> mNames;
  std::map<std::string, step_paces> mSteps;
  std::map<std::string, worker_pace> mWorkers;
  std::map<kind_pair, pair_entry> mPairs;
  std::map<task_kind, std::vector<task_kind>> mInterfering;
  std::set<kind_pair> mKnown;
  std::vector<pair_change> mChanges;
  task_kind mLastKind = 0;
  std::int64_t mUses = 0;
};

} // namespace briarwind
