// Parses one YAML document into a tree of bounded size, with the line of each node.
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
    // A quoted scalar is text, even if it looks like a number.
    bool isQuoted = false;
};

struct YamlList
{
    std::vector<YamlNode> items;
};

struct YamlMap
{
    // In the order of the file, including duplicate keys, which the reader rejects.
    std::vector<YamlEntry> entries;
};

struct YamlNode
{
    // Line number, starting at 1.
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

/// Parses exactly one document.  Rejects anchors, aliases, tags, encodings other than UTF-8 and
/// documents beyond the limits.  The file name of the returned fault is empty.
tl::expected<YamlNode, SourceFault> parseYaml(std::string_view text);

} // namespace cornelhead::detail
