#pragma once

#include "briarwind/time.h"

#include <cstdint>

namespace briarwind {

/// How the capacity that the settings guarantee is kept reclaimable.
enum class guarantee_policy : std::uint8_t
{
  kCells, ///< guarantee cells are bound to workers by a pure function of settings and workers
  /// As kCells, but a claim moves its cell to free resources where it can, so that no job is
  /// evicted; assumes one owner of the binding in each domain.
  kMovableCells,
  kFirstFit, ///< no cells are bound; a claim evicts on the first workers that fit
};

/// Order in which the jobs of one organisation are tried.
enum class queue_order : std::uint8_t
{
  kArrival,
  /// Shortest expected remaining time first, corrected by past run times, with ageing.
  kShortestEstimate,
  kLeastAttained, ///< least accelerator time served so far first
};

/// How workers with enough free resources are chosen for a gang.
enum class packing : std::uint8_t
{
  kBestFit,  ///< the workers that leave the fewest resources unused
  kFirstFit, ///< the first ones in the worker table, which is filled in order of name
};

/// Options of the core. The scheduler uses the defaults unless it is configured otherwise.
struct job_options
{
  milliseconds mTick{ 100 }; ///< time between two `tick` events
  milliseconds mReservationTimeToLive{ 1000 };
  milliseconds mLeaseTimeToLive{ 10000 };
  /// Renewal period of each worker; renewals are spread over the ticks.
  milliseconds mRenewInterval{ 3000 };
  /// Added to the expiry of a lease before an unanswered lease counts as lapsed.
  milliseconds mLapseMargin{ 500 };
  milliseconds mCheckpointBound{ 10000 };     ///< time for a checkpoint on eviction or withdrawal
  milliseconds mUrgentCheckpointBound{ 500 }; ///< as mCheckpointBound, when an urgent job evicts
  /// Backoff after an aborted attempt, doubled up to mRetryDelayCap.
  milliseconds mRetryDelay{ 500 };
  milliseconds mRetryDelayCap{ 60000 };
  milliseconds mEndedJobRetention{ 600000 }; ///< how long an ended job stays in memory for queries

  guarantee_policy mGuarantees = guarantee_policy::kCells;
  queue_order mOrder = queue_order::kShortestEstimate;
  packing mPacking = packing::kBestFit;
  bool mLearnRunTimes = true;
  bool mDrainForGangs = true;
  /// A large gang that has waited this long may evict smaller jobs that can be checkpointed.
  minutes mGangEvictionAfter{ 360 };
  int mLargeGangSize = 48;    ///< accelerators from which a gang counts as large
  minutes mDrainAfter{ 720 }; ///< a job that has waited this long may get a draining reservation
  bool mGangEviction = true;
  minutes mMinRunBeforeEviction{ 10 }; ///< time that a job runs before a large gang may evict it
  int mMaxDrainingJobs = 1;            ///< jobs with a draining reservation at the same time
  /// Share of the live accelerators that draining reservations may hold together.
  int mMaxDrainingPercent = 50;
  /// Members being reserved or started at once, over all jobs; urgent jobs are exempt.
  int mMaxMembersInFlight = 1024;
  /// A withdrawn job without checkpoints may finish if it is expected to end within this time.
  minutes mWithdrawalGrace{ 5 };
  int mMaxPlacementsPerEvent = 16; ///< placements tried before the next event is handled

  int mMaxLiveJobs = 20000; ///< jobs that have not ended; further submissions are refused
  /// kShortestEstimate: a shorter job goes before one that arrived earlier by less than this
  /// multiple of the difference of their expected remaining times.
  double mEstimateWeight = 8;

  /// Failures on different healthy workers after which the job itself is failed.
  int mMaxJobFailures = 3;
  int mQuarantineAfterFailures = 3; ///< failures of a worker without a success in between
  int mMaxQuarantinePercent = 10;   ///< upper limit, as a share of the listed workers; at least one
  seconds mProbeTime{ 60 };         ///< a probe task that runs this long has succeeded
  /// Time before the first probe; doubled after each failed probe, up to a limit.
  seconds mInitialQuarantine{ 60 };
};

} // namespace briarwind
