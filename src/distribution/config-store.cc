// Validates configurations and puts them in force.
#include "cornelhead/distribution/config-store.h"

#include "cornelhead/base/check.h"
#include "cornelhead/base/digest.h"
#include "cornelhead/base/log.h"
#include "cornelhead/config/delta.h"
#include "cornelhead/config/manifest.h"

namespace cornelhead {

ConfigStore::ConfigStore(Metrics &metrics)
    : revertsRefused_(&metrics.counter("cornelhead_reverts_refused_total")),
      partialRefused_(&metrics.counter("cornelhead_partial_refused_total")),
      danglingRefused_(&metrics.counter("cornelhead_dangling_refused_total")),
      revisionGauge_(&metrics.gauge("cornelhead_config_revision")),
      floorGauge_(&metrics.gauge("cornelhead_config_floor"))
{
    current_.bytes = std::make_shared<const std::string>();
}

void ConfigStore::raiseFloor(Revision floor)
{
    floor_ = std::max(floor_, floor);
    floorGauge_->set(static_cast<std::int64_t>(floor_.value()));
}

Result<void> ConfigStore::checkOrder(const EncodedConfig &config) const
{
    if (config.revision < current_.revision)
        return fail(ErrorKind::Stale, "revision is older than the one in force",
                    "send the newest revision");
    if (snapshot_ && config.revision == current_.revision)
        return fail(ErrorKind::Stale,
                    "a configuration with this revision but another digest is in force",
                    "accept edits only by compare-and-swap on the manifest");
    if (config.revision < floor_)
        return fail(ErrorKind::Stale, "revision is below the floor of this address",
                    "send the newest revision");
    return {};
}

Result<std::shared_ptr<const Snapshot>> ConfigStore::compile(const EncodedConfig &config) const
{
    if (digestOf(*config.bytes) != config.digest) {
        partialRefused_->add();
        return fail(ErrorKind::InvalidMessage,
                    "digest of the configuration does not match its bytes",
                    "send the whole configuration again");
    }
    Result<Declarations> declarations = decodeDeclarations(*config.bytes);
    if (!declarations) {
        partialRefused_->add();
        return tl::unexpected(declarations.error());
    }
    auto snapshot = Snapshot::build(config.revision, std::move(*declarations));
    if (!snapshot)
        danglingRefused_->add();
    return snapshot;
}

Result<bool> ConfigStore::offer(const EncodedConfig &config)
{
    if (snapshot_ && config.revision == current_.revision && config.digest == current_.digest)
        return false;
    if (const Result<void> order = checkOrder(config); !order) {
        revertsRefused_->add();
        return tl::unexpected(order.error());
    }
    Result<std::shared_ptr<const Snapshot>> snapshot = compile(config);
    if (!snapshot)
        return tl::unexpected(snapshot.error());
    swap(config, std::move(*snapshot));
    return true;
}

Result<std::shared_ptr<const Snapshot>> ConfigStore::patch(Revision revision, const Digest &digest,
                                                           std::string_view bytes) const
{
    const Result<Delta> delta = decodeDelta(bytes);
    if (!delta)
        return tl::unexpected(delta.error());
    if (!snapshot_ || delta->baseDigest != current_.digest)
        return fail(ErrorKind::NotFound, "base of the delta is not in force on this node",
                    "send the whole configuration");
    auto snapshot = applyDelta(*snapshot_, *delta, revision);
    if (snapshot && (*snapshot)->digest() != digest)
        return fail(ErrorKind::InvalidMessage, "result of the delta does not match the digest",
                    "send the whole configuration");
    return snapshot;
}

Result<bool> ConfigStore::offerDelta(Revision revision, const Digest &digest,
                                     std::string_view delta)
{
    EncodedConfig config{revision, digest, nullptr};
    if (snapshot_ && revision == current_.revision && digest == current_.digest)
        return false;
    if (const Result<void> order = checkOrder(config); !order) {
        revertsRefused_->add();
        return tl::unexpected(order.error());
    }
    Result<std::shared_ptr<const Snapshot>> snapshot = patch(revision, digest, delta);
    if (!snapshot) {
        partialRefused_->add();
        return tl::unexpected(snapshot.error());
    }
    config.bytes
            = std::make_shared<const std::string>(encodeDeclarations((*snapshot)->declarations()));
    swap(config, std::move(*snapshot));
    return true;
}

const std::optional<EncodedDelta> &ConfigStore::delta()
{
    if (deltaComputed_ || !previous_)
        return delta_;
    deltaComputed_ = true;
    std::string bytes
            = encodeDelta(makeDelta(previous_->declarations(), snapshot_->declarations()));
    if (bytes.size() < current_.bytes->size())
        delta_ = EncodedDelta{previous_->revision(), previous_->digest(), std::move(bytes)};
    return delta_;
}

void ConfigStore::swap(const EncodedConfig &config, std::shared_ptr<const Snapshot> snapshot)
{
    CORNELHEAD_CHECK(config.revision >= current_.revision);
    CORNELHEAD_CHECK(config.revision >= floor_);
    CORNELHEAD_CHECK(snapshot->digest() == config.digest);
    current_ = config;
    previous_ = snapshot_;
    deltaComputed_ = false;
    delta_.reset();
    snapshot_ = std::move(snapshot);
    revisionGauge_->set(static_cast<std::int64_t>(config.revision.value()));
    CORNELHEAD_LOG(INFO, "config") << "Revision " << config.revision.value() << " is in force.";
}

} // namespace cornelhead
