#pragma once

#include "briarwind/record_store.h"

#include <map>
#include <string>
#include <vector>

namespace briarwind {

/// The keys under a prefix as the answers of the store showed them to this host, in a form that
/// this host can serve to hosts that the store turns away. spec/relay.pml says when it may.
class store_view
{
public:
  explicit store_view(std::string aPrefix);

  /// Takes a listing of the prefix.
  void Replace(const store_listing& aListing);
  /// Takes the answer to a watch, which is complete up to aRevision.
  void Apply(const std::vector<store_change>& aChanges, store_revision aRevision);
  /// Called when the store could not be read; the view is not current until the next answer.
  void SetLost() { mIsCurrent = false; }

  const std::string& Prefix() const { return mPrefix; }
  /// Whether the store has answered lately.
  bool IsCurrent() const { return mIsCurrent; }
  /// Revision of the store up to which the view is complete.
  store_revision Revision() const { return mRevision; }
  /// Revision of the newest change that the view shows, or of its listing if that is newer. Unlike
  /// `Revision`, it does not depend on the word of a watch that there was no change.
  store_revision NewestChange() const;
  store_listing List() const;
  /// The changes after aRevision, without deletions: when one may have been missed, the result is
  /// compacted.
  watch_result ChangesAfter(store_revision aRevision) const;

private:
  std::string mPrefix;
  std::map<std::string, stored_value, std::less<>> mValues;
  store_revision mRevision = 0;
  store_revision mCompleteFrom = 0; ///< there was no deletion after this revision
  bool mIsCurrent = false;
};

} // namespace briarwind
