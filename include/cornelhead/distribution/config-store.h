// The configuration in force in this process, and the rules for replacing it.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "cornelhead/base/error.h"
#include "cornelhead/base/metrics.h"
#include "cornelhead/config/snapshot.h"

namespace cornelhead {

/// A serialized configuration: canonical bytes, identified by revision and digest.
struct EncodedConfig
{
    Revision revision;
    Digest digest;
    std::shared_ptr<const std::string> bytes;
};

/// A delta from the previous configuration to the one in force.
struct EncodedDelta
{
    Revision baseRevision;
    Digest baseDigest;
    std::string bytes;
};

/// Replaces the configuration atomically, never with an older revision or one below the floor.
///
/// Invariants: the revision in force never decreases; no revision below the floor is applied;
/// `current().bytes` has the digest `current().digest`.
class ConfigStore
{
public:
    explicit ConfigStore(Metrics &metrics);

    /// Raises the minimum revision accepted from now on; a lower floor is ignored.
    void raiseFloor(Revision floor);
    Revision floor() const { return floor_; }

    /// Validates `config` and then puts it in force.  Returns true when it was applied, false when
    /// it was already in force.
    ///
    /// Fails with `Stale` for an older revision or one below the floor, `InvalidMessage` for a
    /// wrong digest, `InvalidDeclaration` for content that cannot be applied.
    Result<bool> offer(const EncodedConfig &config);

    /// Applies a delta to the configuration in force and puts the result in force as `offer` does.
    ///
    /// Fails with `NotFound` when the base of the delta is not in force, otherwise as `offer`.
    Result<bool> offerDelta(Revision revision, const Digest &digest, std::string_view delta);
    /// Returns the delta from the previous configuration, or nothing when it is not smaller than
    /// the whole configuration.
    const std::optional<EncodedDelta> &delta();

    Revision revision() const { return current_.revision; }
    const EncodedConfig &current() const { return current_; }
    const std::shared_ptr<const Snapshot> &snapshot() const { return snapshot_; }

private:
    Result<void> checkOrder(const EncodedConfig &config) const;
    Result<std::shared_ptr<const Snapshot>> patch(Revision revision, const Digest &digest,
                                                  std::string_view bytes) const;
    Result<std::shared_ptr<const Snapshot>> compile(const EncodedConfig &config) const;
    void swap(const EncodedConfig &config, std::shared_ptr<const Snapshot> snapshot);

    Revision floor_;
    EncodedConfig current_;
    std::shared_ptr<const Snapshot> snapshot_;
    std::shared_ptr<const Snapshot> previous_;
    // Computed on the first call of `delta`.
    bool deltaComputed_ = false;
    std::optional<EncodedDelta> delta_;
    Counter *revertsRefused_;
    Counter *partialRefused_;
    Counter *danglingRefused_;
    Gauge *revisionGauge_;
    Gauge *floorGauge_;
};

} // namespace cornelhead
