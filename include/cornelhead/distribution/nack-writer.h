// Brings the reasons for which nodes refused a revision back to the operator, by the platform.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "cornelhead/base/ids.h"
#include "cornelhead/base/metrics.h"
#include "cornelhead/distribution/ports.h"

namespace cornelhead {

/// Why a node refused a revision.
struct Refusal
{
    Revision revision;
    NodeId node;
    std::string reason;
};

/// Writes each reason once under `nackPrefix`, with the first node that gave it.
class NackWriter
{
public:
    NackWriter(PlatformPort &platform, Metrics &metrics);

    void write(const Refusal &refusal);

private:
    void read(const Refusal &refusal, int attemptsLeft);
    void merge(const Refusal &refusal, const std::optional<KeyValue> &stored, int attemptsLeft);

    PlatformPort *platform_;
    Counter *calls_;
    Counter *nacks_;
    std::shared_ptr<int> alive_ = std::make_shared<int>();
    // Revision and reason of what was written, bounded.
    std::set<std::pair<Revision, std::string>> written_;
};

} // namespace cornelhead
