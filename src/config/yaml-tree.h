// A bounded tree of one YAML document, with the line of each node.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

#include "cornelhead/config/declarations-reader.h"

namespace cornelhead::detail {

struct YamlNode;
struct YamlEntry;

struct YamlNull
{ };

struct YamlScalar
{
    std::string text;
    // A quoted scalar is text, even where it looks like a number.
    bool isQuoted = false;
};

struct YamlList
{
    std::vector<YamlNode> items;
};

struct YamlMap
{
    // In the order of the file; duplicates are kept for the reader to refuse.
    std::vector<YamlEntry> entries;
};

struct YamlNode
{
    // Counts from 1.
    std::size_t line = 1;
    std::variant<YamlNull, YamlScalar, YamlList, YamlMap> content;
};

struct YamlEntry
{
    std::string key;
    std::size_t line = 1;
    YamlNode value;
};

struct YamlLimits
{
    static constexpr std::size_t bytes = 16 * 1024 * 1024;
    static constexpr std::size_t nodes = 2'000'000;
    static constexpr std::size_t depth = 8;
};

/// Reads exactly one document.  Refuses anchors, aliases, tags, other encodings than UTF-8, and
/// whatever is beyond the limits; the fault has no file name yet.
tl::expected<YamlNode, SourceFault> parseYaml(std::string_view text);

} // namespace cornelhead::detail
