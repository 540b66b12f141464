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

/// Leads from one configuration to another.  Applies only on its base and must give its target.
struct Delta
{
    Digest baseDigest;
    Digest targetDigest;
    /// Canonical lines of the records that the target adds or changes, in canonical order.
    std::vector<std::string> changed;
    /// Records that the target lacks, in canonical order.
    std::vector<RecordKey> removed;
};

/// Returns what leads from `base` to `target`; both must be in canonical order, as those of a
/// snapshot are.
///
///     Delta delta = makeDelta(held->declarations(), next->declarations());
Delta makeDelta(const Declarations &base, const Declarations &target);

/// Builds the target of `delta` at `revision`.
///
/// Fails with `Stale` when `base` is not the base of the delta, and with `InvalidMessage` when the
/// result is not the stated target.  In both cases nothing is built, and the caller has to ask for
/// the whole configuration.
Result<std::shared_ptr<const Snapshot>> applyDelta(const Snapshot &base, const Delta &delta,
                                                   Revision revision);

std::string encodeDelta(const Delta &delta);
/// Fails with `InvalidMessage`.
Result<Delta> decodeDelta(std::string_view bytes);

} // namespace cornelhead
