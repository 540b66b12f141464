// Reports to the operator why nodes rejected a revision, through a record at the platform.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "cornelhead/base/ids.h"
#include "cornelhead/base/metrics.h"
#include "cornelhead/distribution/ports.h"

namespace cornelhead {

/// Why a node rejected a revision.
struct Rejection
{
    Revision revision;
    NodeId node;
    std::string reason;
};

/// Writes each distinct reason once under `nackPrefix`, with the first node that reported it.
class NackWriter
{
public:
    NackWriter(PlatformPort &platform, Metrics &metrics);

    void write(const Rejection &rejection);

private:
    void read(const Rejection &rejection, int attemptsLeft);
    void merge(const Rejection &rejection, const std::optional<KeyValue> &stored, int attemptsLeft);

    PlatformPort *platform_;
    Counter *calls_;
    Counter *nacks_;
    std::shared_ptr<int> alive_ = std::make_shared<int>();
    // Revisions and reasons already written; bounded in size.
    std::set<std::pair<Revision, std::string>> written_;
};

} // namespace cornelhead
