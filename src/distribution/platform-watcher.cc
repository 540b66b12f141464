// Decodes changes at the platform into configurations, moves and relays.
#include "cornelhead/distribution/platform-watcher.h"

#include <algorithm>

#include "cornelhead/base/log.h"
#include "cornelhead/distribution/wire.h"

namespace cornelhead {
namespace detail {

constexpr Milliseconds initialChunkRetryDelay = Milliseconds(100);
constexpr Milliseconds maxChunkRetryDelay = Milliseconds(2000);

} // namespace detail

PlatformWatcher::PlatformWatcher(PlatformPort &platform, const Clock &clock, Random &random,
                                 Metrics &metrics, WatcherHandlers handlers)
    : platform_(&platform), clock_(clock), random_(&random), handlers_(std::move(handlers)),
      chunkCalls_(&metrics.counter("cornelhead_platform_calls_total", {{"flow", "chunk"}})),
      floorCalls_(&metrics.counter("cornelhead_platform_calls_total", {{"flow", "floor"}})),
      invalidValues_(&metrics.counter("cornelhead_platform_unreadable_total")),
      chunkBackoff_(detail::initialChunkRetryDelay, detail::maxChunkRetryDelay),
      manifestWatch_(manifestKey, platform, clock, random, metrics,
                     [this](const PrefixChange &change) { onManifestChange(change); }),
      moveWatch_(movePrefix, platform, clock, random, metrics,
                 [this](const PrefixChange &change) { onMoveChange(change); }),
      relayWatch_(relayPrefix, platform, clock, random, metrics,
                  [this](const PrefixChange &change) { onRelayChange(change); })
{ }

void PlatformWatcher::start()
{
    if (runToken_)
        return;
    runToken_ = std::make_shared<int>();
    manifestWatch_.start();
    moveWatch_.start();
    relayWatch_.start();
}

void PlatformWatcher::stop()
{
    runToken_.reset();
    manifestWatch_.stop();
    moveWatch_.stop();
    relayWatch_.stop();
    chunksInFlight_.clear();
    pendingManifest_.reset();
    queuedFloorCallbacks_.clear();
    activeFloorCallbacks_.clear();
}

void PlatformWatcher::tick()
{
    manifestWatch_.tick();
    moveWatch_.tick();
    relayWatch_.tick();
    if (runToken_ && pendingManifest_ && now(clock_) >= nextFetch_)
        fetchMissingChunks();
}

void PlatformWatcher::onManifestChange(const PrefixChange &change)
{
    for (const KeyValue &entry : change.changed) {
        if (entry.key == manifestKey)
            onManifest(entry.value);
    }
}

void PlatformWatcher::onManifest(const std::string &bytes)
{
    Result<Manifest> manifest = decodeManifest(bytes);
    if (!manifest) {
        invalidValues_->add();
        CORNELHEAD_LOG(ERROR, "watch")
                << "Invalid manifest at the platform: " << manifest.error().describe();
        return;
    }
    if (manifest->revision <= deliveredRevision_)
        return;
    if (pendingManifest_ && pendingManifest_->revision >= manifest->revision)
        return;
    pendingManifest_ = std::move(*manifest);
    chunkBackoff_.reset();
    fetchMissingChunks();
    deliverWhenComplete();
}

void PlatformWatcher::fetchMissingChunks()
{
    for (const Digest &digest : pendingManifest_->chunks) {
        if (!chunks_.contains(digest) && !chunksInFlight_.contains(digest))
            fetchChunk(digest);
    }
}

void PlatformWatcher::fetchChunk(const Digest &digest)
{
    chunksInFlight_[digest] = true;
    chunkCalls_->add();
    platform_->get(chunkPrefix + digest.value(),
                   [this, digest, alive = std::weak_ptr<int>(runToken_)](const auto &response) {
                       if (!alive.expired())
                           onChunk(digest, response);
                   });
}

void PlatformWatcher::onChunk(const Digest &digest, const Result<std::optional<KeyValue>> &response)
{
    chunksInFlight_.erase(digest);
    if (response && *response) {
        chunks_[digest] = (*response)->value;
        deliverWhenComplete();
        return;
    }
    nextFetch_ = now(clock_) + chunkBackoff_.next(*random_);
}

void PlatformWatcher::deliverWhenComplete()
{
    if (!pendingManifest_)
        return;
    std::vector<Chunk> chunks;
    for (const Digest &digest : pendingManifest_->chunks) {
        const auto found = chunks_.find(digest);
        if (found == chunks_.end())
            return;
        chunks.push_back({digest, found->second});
    }
    Result<std::string> joined = joinChunks(*pendingManifest_, chunks);
    if (!joined) {
        invalidValues_->add();
        CORNELHEAD_LOG(ERROR, "watch")
                << "Invalid chunks at the platform: " << joined.error().describe();
        for (const Chunk &chunk : chunks)
            chunks_.erase(chunk.digest);
        nextFetch_ = now(clock_) + chunkBackoff_.next(*random_);
        return;
    }
    std::map<Digest, std::string> usedChunks;
    for (Chunk &chunk : chunks)
        usedChunks[chunk.digest] = std::move(chunk.bytes);
    chunks_ = std::move(usedChunks);
    const Manifest manifest = *pendingManifest_;
    pendingManifest_.reset();
    deliveredRevision_ = manifest.revision;
    handlers_.onConfig({manifest.revision, manifest.digest,
                        std::make_shared<const std::string>(std::move(*joined))});
}

void PlatformWatcher::onMoveChange(const PrefixChange &change)
{
    std::vector<Move> moves;
    for (const KeyValue &entry : change.changed) {
        Result<Move> move = decodeMove(entry.value);
        if (!move) {
            invalidValues_->add();
            CORNELHEAD_LOG(ERROR, "watch")
                    << "Invalid move at the platform: " << move.error().describe();
            continue;
        }
        move->modRevision = entry.modRevision;
        moves.push_back(std::move(*move));
    }
    handlers_.onMoves(moves);
}

void PlatformWatcher::onRelayChange(const PrefixChange &change)
{
    if (change.complete)
        relays_.relays.clear();
    for (const std::string &key : change.removed)
        relays_.relays.erase(key);
    for (const KeyValue &entry : change.changed) {
        if (const Result<NodeInfo> info = decodeNodeInfo(entry.value))
            relays_.relays[entry.key] = *info;
        else
            invalidValues_->add();
    }
    relays_.storeRevision = change.storeRevision;
    handlers_.onRelays(relays_);
}

void PlatformWatcher::confirmFloor(FloorCallback callback)
{
    queuedFloorCallbacks_.push_back(std::move(callback));
    if (activeFloorCallbacks_.empty())
        readFloor();
}

void PlatformWatcher::readFloor()
{
    activeFloorCallbacks_ = std::move(queuedFloorCallbacks_);
    queuedFloorCallbacks_.clear();
    floorCalls_->add();
    platform_->get(manifestKey,
                   [this, alive = std::weak_ptr<int>(runToken_)](const auto &response) {
                       if (!alive.expired())
                           onFloor(response);
                   });
}

void PlatformWatcher::onFloor(const Result<std::optional<KeyValue>> &response)
{
    std::optional<Revision> floor;
    if (response && !*response) {
        floor = Revision(0);
    } else if (response) {
        if (const Result<Manifest> manifest = decodeManifest((*response)->value)) {
            floor = manifest->revision;
            onManifest((*response)->value);
        }
    }
    const std::vector<FloorCallback> callbacks = std::move(activeFloorCallbacks_);
    activeFloorCallbacks_.clear();
    for (const FloorCallback &callback : callbacks)
        callback(floor);
    if (!queuedFloorCallbacks_.empty() && activeFloorCallbacks_.empty())
        readFloor();
}

} // namespace cornelhead
