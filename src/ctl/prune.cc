// Removes past manifests and the chunks that only they reference.
#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cornelhead/ctl/configuration-store.h"

namespace cornelhead {
namespace detail {

// Chunks are listed by the first digit of their digest to keep each response small.
constexpr std::string_view hexDigits = "0123456789abcdef";

struct ListedKey
{
    std::string key;
    ModRevision modRevision;
};

Result<std::vector<ListedKey>> listChunkKeys(const PlatformOperations &platform)
{
    std::vector<ListedKey> keys;
    for (const char digit : hexDigits) {
        const Result<Listing> listing = platform.list(std::string(chunkPrefix) + digit);
        if (!listing)
            return tl::unexpected<Error>(listing.error());
        for (const KeyValue &entry : listing->entries)
            keys.push_back({entry.key, entry.modRevision});
    }
    return keys;
}

// Past manifests: the newest to keep, and the keys of the others to remove.
struct SplitHistory
{
    std::vector<Manifest> kept;
    std::vector<ListedKey> dropped;
    std::set<std::string> droppedRefusalKeys;
};

Result<SplitHistory> splitHistory(const PlatformOperations &platform, std::size_t keep)
{
    const Result<Listing> listing = platform.list(historyPrefix);
    if (!listing)
        return tl::unexpected<Error>(listing.error());
    std::vector<std::pair<Manifest, ListedKey>> all;
    for (const KeyValue &entry : listing->entries) {
        Result<Manifest> manifest = decodeManifest(entry.value);
        if (!manifest)
            return tl::unexpected<Error>(manifest.error());
        all.emplace_back(std::move(*manifest), ListedKey{entry.key, entry.modRevision});
    }
    std::sort(all.begin(), all.end(), [](const auto &left, const auto &right) {
        return left.first.revision > right.first.revision;
    });
    SplitHistory split;
    for (std::size_t i = 0; i < all.size(); ++i) {
        if (i < keep) {
            split.kept.push_back(std::move(all[i].first));
        } else {
            const std::uint64_t revision = all[i].first.revision.value();
            split.droppedRefusalKeys.insert(nackPrefix + std::to_string(revision));
            split.dropped.push_back(std::move(all[i].second));
        }
    }
    return split;
}

// Rewrites the manifest, so that every apply that read it earlier loses its compare-and-swap.
Result<void> fence(const PlatformOperations &platform, const StoredManifest &inForce)
{
    const Result<ModRevision> put
            = platform.put(manifestKey, encodeManifest(inForce.manifest), {inForce.modRevision});
    if (put)
        return {};
    if (put.error().kind != ErrorKind::Conflict)
        return tl::unexpected<Error>(put.error());
    return fail(ErrorKind::Conflict, "a configuration was accepted in the meantime",
                "run prune again");
}

// Removes the keys that are unchanged since they were listed; returns how many were removed.
Result<std::size_t> removeUnchanged(const PlatformOperations &platform,
                                    const std::vector<ListedKey> &keys)
{
    std::size_t removed = 0;
    for (const ListedKey &listed : keys) {
        const Result<void> done = platform.remove(listed.key, {listed.modRevision});
        if (done)
            ++removed;
        else if (done.error().kind != ErrorKind::Conflict
                 && done.error().kind != ErrorKind::NotFound)
            return tl::unexpected<Error>(done.error());
    }
    return removed;
}

Result<void> removeRefusals(const PlatformOperations &platform, const std::set<std::string> &keys)
{
    const Result<Listing> listing = platform.list(nackPrefix);
    if (!listing)
        return tl::unexpected<Error>(listing.error());
    std::vector<ListedKey> dropped;
    for (const KeyValue &entry : listing->entries) {
        if (keys.contains(entry.key))
            dropped.push_back({entry.key, entry.modRevision});
    }
    const Result<std::size_t> removed = removeUnchanged(platform, dropped);
    return removed ? Result<void>() : tl::unexpected<Error>(removed.error());
}

std::set<std::string> referencedChunkKeys(const SplitHistory &history, const Manifest &inForce)
{
    std::set<std::string> referenced;
    const auto add = [&](const Manifest &manifest) {
        for (const Digest &digest : manifest.chunks)
            referenced.insert(chunkPrefix + digest.value());
    };
    add(inForce);
    std::for_each(history.kept.begin(), history.kept.end(), add);
    return referenced;
}

} // namespace detail

Result<PruneOutcome> pruneHistory(const PlatformOperations &platform, std::size_t keep)
{
    // Safe against a concurrent apply only in this order: list chunks, read the manifest, fence,
    // remove.
    Result<std::vector<detail::ListedKey>> chunks = detail::listChunkKeys(platform);
    if (!chunks)
        return tl::unexpected<Error>(chunks.error());
    const Result<std::optional<StoredManifest>> inForce = readManifest(platform);
    if (!inForce)
        return tl::unexpected<Error>(inForce.error());
    if (!*inForce)
        return fail(ErrorKind::NotFound, "no configuration is in force",
                    "apply a configuration first");
    const Result<detail::SplitHistory> history = detail::splitHistory(platform, keep);
    if (!history)
        return tl::unexpected<Error>(history.error());
    if (const Result<void> fenced = detail::fence(platform, **inForce); !fenced)
        return tl::unexpected<Error>(fenced.error());

    const std::set<std::string> referenced
            = detail::referencedChunkKeys(*history, (*inForce)->manifest);
    std::erase_if(*chunks, [&](const auto &listed) { return referenced.contains(listed.key); });
    if (const Result<void> done = detail::removeRefusals(platform, history->droppedRefusalKeys);
        !done)
        return tl::unexpected<Error>(done.error());
    // Manifests are removed before chunks, so that no manifest references a removed chunk.
    const Result<std::size_t> manifests = detail::removeUnchanged(platform, history->dropped);
    if (!manifests)
        return tl::unexpected<Error>(manifests.error());
    const Result<std::size_t> removed = detail::removeUnchanged(platform, *chunks);
    if (!removed)
        return tl::unexpected<Error>(removed.error());
    return PruneOutcome{*removed, *manifests};
}

} // namespace cornelhead
