// Reads typed records from a YAML tree and collects all faults.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/yaml-tree.h"
#include "cornelhead/base/clock.h"
#include "cornelhead/config/declarations-reader.h"

namespace cornelhead::detail {

/// Collects the faults of one file.
class FaultSink
{
public:
    FaultSink(std::string file, std::vector<SourceFault> &faults)
        : file_(std::move(file)), faults_(&faults)
    { }

    void add(std::size_t line, std::string message, std::string remedy);
    void add(SourceFault fault);

private:
    std::string file_;
    std::vector<SourceFault> *faults_;
};

/// The position of a field in its file.
struct FieldSource
{
    std::size_t line = 1;
    /// The lines of the items if the field is a list.
    std::vector<std::size_t> itemLines;
    /// A fault of the field was reported; faults that follow from it are not.
    bool isFaulty = false;
};

/// Reads the fields of one map.  `finish` reports the fields that were not read.
class RecordReader
{
public:
    /// `recordType` names the record in messages, such as "plan".  If `node` is not a map, this is
    /// reported and no field is found.
    RecordReader(const YamlNode &node, std::string recordType, FaultSink &faults);

    std::string text(const std::string &field);
    std::uint32_t number(const std::string &field);
    Milliseconds duration(const std::string &field, Milliseconds defaultValue);
    /// Returns an index into `allowed`; the field is required if there is no `defaultValue`.
    std::size_t choice(const std::string &field, const std::vector<std::string> &allowed,
                       std::optional<std::size_t> defaultValue);
    std::vector<std::string> names(const std::string &field);
    /// Calls `visit` for each item of a list.
    void items(const std::string &field, const std::function<void(const YamlNode &)> &visit);
    /// Calls `visit` for each entry of a map.
    void entries(const std::string &field, const std::function<void(const YamlEntry &)> &visit);

    /// Reports unknown and duplicate fields; returns the positions of the fields that were read.
    std::map<std::string, FieldSource> finish();
    std::size_t line() const { return line_; }

private:
    const YamlNode *find(const std::string &field, bool isRequired);
    const YamlScalar *scalar(const std::string &field, bool isRequired, const char *expected);
    void addFault(const std::string &field, std::size_t line, std::string message,
                  std::string remedy);

    std::string recordType_;
    FaultSink *faults_;
    std::size_t line_;
    // Null if the node is not a map.
    const YamlMap *map_;
    std::map<std::string, FieldSource> fields_;
};

/// Returns nothing unless `node` is an unquoted, unsigned 32-bit integer.
std::optional<std::uint32_t> parseNumber(const YamlNode &node);

} // namespace cornelhead::detail
