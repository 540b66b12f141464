// The difference between two configurations, so that a small edit costs few bytes.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cornelhead/base/error.h"
#include "cornelhead/base/ids.h"
#include "cornelhead/config/records.h"
#include "cornelhead/config/snapshot.h"

namespace cornelhead {

/// The changes from a base configuration to a target.  Applies only to its base, and the result
/// must have the digest of its target.
struct Delta
{
    Digest baseDigest;
    Digest targetDigest;
    /// Canonical lines of the records that the target adds or changes, in canonical order.
    std::vector<std::string> changed;
    /// Records that the target lacks, in canonical order.
    std::vector<RecordKey> removed;
};

/// Returns the changes from `base` to `target`.  Both must be in canonical order, as the
/// declarations of a snapshot are.
///
///     Delta delta = makeDelta(current->declarations(), next->declarations());
Delta makeDelta(const Declarations &base, const Declarations &target);

/// Builds the target of `delta` at `revision`.
///
/// Fails with `Stale` if `base` is not the base of the delta, and with `InvalidMessage` if the
/// result does not have the target's digest.  After either failure the caller has to request the
/// full configuration.
Result<std::shared_ptr<const Snapshot>> applyDelta(const Snapshot &base, const Delta &delta,
                                                   Revision revision);

std::string encodeDelta(const Delta &delta);
/// Fails with `InvalidMessage`.
Result<Delta> decodeDelta(std::string_view bytes);

} // namespace cornelhead
