#pragma once

#include "briarwind/time.h"

#include <cstdint>

namespace briarwind {

/// How guaranteed shapes are kept reclaimable.
enum class guarantee_policy : std::uint8_t
{
  kCells,    ///< bound to workers by a pure function of settings and workers
  kWitness,  ///< bound to whichever workers lose least now, kept by one owner a domain
  kFirstFit, ///< not bound; a claim evicts at the first workers that fit
};

/// In which order jobs of one organisation are tried.
enum class queue_order : std::uint8_t
{
  kArrival,
  kShortestEstimate, ///< declared run time, corrected by what was learned, aged by waiting
  kLeastAttained,    ///< the job that was served least so far
};

/// Which of the workers with room a gang takes.
enum class packing : std::uint8_t
{
  kBestFit,  ///< those that leave the least room over
  kFirstFit, ///< the first ones by name
};

/// Tuning of the core. The defaults are what the scheduler ships with.
struct job_options
{
  milliseconds mTick{ 100 }; ///< time between two `tick` events
  milliseconds mReservationTimeToLive{ 1000 };
  milliseconds mLeaseTimeToLive{ 10000 };
  milliseconds mRenewEvery{ 3000 };       ///< per worker; spread over the ticks
  milliseconds mLapseMargin{ 500 };       ///< added before a lease without an answer counts as gone
  milliseconds mCheckpointBound{ 10000 }; ///< for evictions and withdrawals
  milliseconds mUrgentCheckpointBound{ 500 };
  milliseconds mRetryDelay{ 500 }; ///< after an aborted attempt, doubled up to the cap
  milliseconds mRetryDelayCap{ 60000 };
  milliseconds mEndedKept{ 600000 }; ///< how long an ended job can still be asked about

  guarantee_policy mGuarantees = guarantee_policy::kCells;
  queue_order mOrder = queue_order::kShortestEstimate;
  packing mPacking = packing::kBestFit;
  bool mLearnRunTimes = true;
  bool mDrainForGangs = true;
  /// A large gang that waited this long may evict what saves its progress.
  minutes mGangPatience{ 360 };
  int mGangSize = 48;            ///< accelerators from which on a gang counts as large
  minutes mDrainPatience{ 720 }; ///< a job that waited this long may reserve draining workers
  bool mGangsEvict = true;
  minutes mLeastRun{ 10 };       ///< for which a job runs before a gang may evict it
  int mDrainingJobs = 1;         ///< how many may at once
  int mDrainingPercent = 50;     ///< of the live accelerators that they may hold together
  int mReservingMembers = 1024;  ///< members being reserved or started at once, over all jobs
  minutes mWithdrawalGrace{ 5 }; ///< for work without checkpoints that ends within it
  int mAttemptsPerEvent = 16;    ///< placements tried before the next event is taken

  int mMostJobs = 20000;      ///< jobs that are not over; more are refused
  double mEstimateWeight = 8; ///< kShortestEstimate: a job overtakes one that arrived earlier by
                              ///< less than this much of the difference of their run times

  int mJobFailures = 3;          ///< failures on different workers that make a job failed
  int mQuarantineAfter = 3;      ///< failures of a worker without a success in between
  int mQuarantinePercent = 10;   ///< of the workers, at most
  seconds mProbeTime{ 60 };      ///< a probe that runs this long has succeeded
  seconds mQuarantineTime{ 60 }; ///< before the first probe; doubled after each failed one
};

} // namespace briarwind
