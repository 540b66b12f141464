// The configuration that this process acts on, and the rules by which it is replaced.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "cornelhead/base/error.h"
#include "cornelhead/base/metrics.h"
#include "cornelhead/config/snapshot.h"

namespace cornelhead {

/// A configuration as it travels: canonical bytes named by revision and digest.
struct EncodedConfig
{
    Revision revision;
    Digest digest;
    std::shared_ptr<const std::string> bytes;
};

/// What leads from the configuration before to the one in force.
struct EncodedDelta
{
    Revision baseRevision;
    Digest baseDigest;
    std::string bytes;
};

/// Replaces the configuration whole, forwards only, and never with one below the floor.
///
/// Invariants: the revision in force never goes down; it is never below the floor; the bytes in
/// force have the digest in force.
class ConfigStore
{
public:
    explicit ConfigStore(Metrics &metrics);

    /// Raises what may be acted on from now on; a lower floor is ignored.
    void raiseFloor(Revision floor);
    Revision floor() const { return floor_; }

    /// Checks digest and content aside, then swaps.  Returns true when it is in force now, false
    /// when it was in force already.
    ///
    /// Fails with `Stale` for an older revision or one below the floor, `InvalidMessage` for a
    /// wrong digest, `InvalidDeclaration` for content that cannot be applied.
    Result<bool> offer(const EncodedConfig &config);

    /// Builds the configuration from the one in force, and then does as `offer`.
    ///
    /// Fails with `NotFound` when the one in force is not the base, and as `offer` otherwise.
    Result<bool> offerDelta(Revision revision, const Digest &digest, std::string_view delta);
    /// Returns the change from the configuration before, or nothing when it would save no bytes.
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
    // Worked out when a relay first asks for it.
    bool deltaComputed_ = false;
    std::optional<EncodedDelta> delta_;
    Counter *revertsRefused_;
    Counter *partialRefused_;
    Counter *danglingRefused_;
    Gauge *revisionGauge_;
    Gauge *floorGauge_;
};

} // namespace cornelhead
