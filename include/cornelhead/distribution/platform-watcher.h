// Watches the configuration, all moves and the relay slots at the platform for a relay.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cornelhead/config/manifest.h"
#include "cornelhead/distribution/config-store.h"
#include "cornelhead/distribution/prefix-watch.h"
#include "cornelhead/distribution/relay-directory.h"
#include "cornelhead/rollout/move.h"

namespace cornelhead {

struct WatcherHandlers
{
    std::function<void(const EncodedConfig &)> onConfig;
    std::function<void(const std::vector<Move> &)> onMoves;
    std::function<void(const RelayDirectory &)> onRelays;
};

/// Watches the platform while this node is a relay; fetches only chunks missing from its cache.
class PlatformWatcher
{
public:
    /// Receives the revision that was read at the platform after `confirmFloor` was called, or
    /// nothing when the read failed.
    using FloorCallback = std::function<void(std::optional<Revision>)>;

    PlatformWatcher(PlatformPort &platform, const Clock &clock, Random &random, Metrics &metrics,
                    WatcherHandlers handlers);

    void start();
    void stop();
    void tick();
    bool isReachable() const { return manifestWatch_.isReachable(); }
    /// Returns whether the watcher runs and no call for the manifest has completed yet.
    bool isFirstCallPending() const { return manifestWatch_.isFirstCallPending(); }

    /// Reads the manifest's revision from the platform.  Calls made during a read share the next
    /// one, since a read under way may be older than the call.
    void confirmFloor(FloorCallback callback);

private:
    void onManifestChange(const PrefixChange &change);
    void onManifest(const std::string &bytes);
    void fetchMissingChunks();
    void fetchChunk(const Digest &digest);
    void onChunk(const Digest &digest, const Result<std::optional<KeyValue>> &response);
    void deliverWhenComplete();
    void onMoveChange(const PrefixChange &change);
    void onRelayChange(const PrefixChange &change);
    void readFloor();
    void onFloor(const Result<std::optional<KeyValue>> &response);

    PlatformPort *platform_;
    Clock clock_;
    Random *random_;
    WatcherHandlers handlers_;
    Counter *chunkCalls_;
    Counter *floorCalls_;
    Counter *invalidValues_;
    Backoff chunkBackoff_;
    // Lifetime token; reset by `stop`, so that responses to earlier calls are ignored.
    std::shared_ptr<int> runToken_;
    /// The manifest whose chunks are being fetched.
    std::optional<Manifest> pendingManifest_;
    Revision deliveredRevision_;
    std::map<Digest, std::string> chunks_;
    std::map<Digest, bool> chunksInFlight_;
    TimePoint nextFetch_;
    RelayDirectory relays_;
    std::vector<FloorCallback> queuedFloorCallbacks_;
    std::vector<FloorCallback> activeFloorCallbacks_;
    PrefixWatch manifestWatch_;
    PrefixWatch moveWatch_;
    PrefixWatch relayWatch_;
};

} // namespace cornelhead
