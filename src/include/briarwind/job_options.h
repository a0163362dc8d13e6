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

/// Tuning of the core. The defaults are what the scheduler ships with.
struct job_options
{
  milliseconds mTick{ 100 }; ///< time between two `tick` events
  milliseconds mReservationTimeToLive{ 1000 };
  milliseconds mLeaseTimeToLive{ 10000 };
  milliseconds mRenewEvery{ 3000 };       ///< per worker; spread over the ticks
  milliseconds mLapseMargin{ 500 };       ///< added before a lease without an answer counts as gone
  milliseconds mCheckpointBound{ 30000 }; ///< for evictions and withdrawals
  milliseconds mUrgentCheckpointBound{ 500 };
  milliseconds mRetryDelay{ 500 }; ///< after an aborted attempt, doubled up to the cap
  milliseconds mRetryDelayCap{ 60000 };
  milliseconds mEndedKept{ 600000 }; ///< how long an ended job can still be asked about

  guarantee_policy mGuarantees = guarantee_policy::kCells;
  queue_order mOrder = queue_order::kShortestEstimate;
  bool mLearnRunTimes = true;
  bool mDrainForGangs = true;
  minutes mGangPatience{ 10 }; ///< a job that waited this long may reserve draining workers
  int mDrainingJobs = 2;       ///< how many may at once
  int mDrainingPercent = 50;   ///< of the live accelerators that they may hold together
  int mAttemptsPerEvent = 16;  ///< placements tried before the next event is taken

  int mJobFailures = 3;          ///< failures on different workers that make a job failed
  int mQuarantineAfter = 3;      ///< failures of a worker without a success in between
  int mQuarantinePercent = 10;   ///< of the workers, at most
  seconds mQuarantineTime{ 60 }; ///< before the first probe; doubled after each failed one
};

} // namespace briarwind
