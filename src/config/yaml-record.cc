// Reads typed fields from YAML maps.
#include "config/yaml-record.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <utility>

#include "cornelhead/base/settings.h"

namespace cornelhead::detail {

namespace {

std::string joinNames(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names)
        text += (text.empty() ? "" : ", ") + name;
    return text;
}

} // namespace

void FaultSink::add(std::size_t line, std::string message, std::string remedy)
{
    faults_->push_back(SourceFault{file_, line, std::move(message), std::move(remedy)});
}

void FaultSink::add(SourceFault fault)
{
    fault.file = file_;
    faults_->push_back(std::move(fault));
}

std::optional<std::uint32_t> parseNumber(const YamlNode &node)
{
    const auto *scalar = std::get_if<YamlScalar>(&node.content);
    if (!scalar || scalar->isQuoted)
        return std::nullopt;
    std::uint32_t number = 0;
    const char *end = scalar->text.data() + scalar->text.size();
    const auto [numberEnd, error] = std::from_chars(scalar->text.data(), end, number);
    if (error != std::errc() || numberEnd != end)
        return std::nullopt;
    return number;
}

RecordReader::RecordReader(const YamlNode &node, std::string recordType, FaultSink &faults)
    : recordType_(std::move(recordType)), faults_(&faults), line_(node.line),
      map_(std::get_if<YamlMap>(&node.content))
{
    if (!map_)
        faults_->add(line_, "the " + recordType_ + " is not a map of keys and values",
                     "write keys such as 'name: value', one per line");
}

void RecordReader::addFault(const std::string &field, std::size_t line, std::string message,
                            std::string remedy)
{
    fields_[field].isFaulty = true;
    faults_->add(line, std::move(message), std::move(remedy));
}

const YamlNode *RecordReader::find(const std::string &field, bool isRequired)
{
    FieldSource &source = fields_[field];
    source.line = line_;
    if (!map_) {
        source.isFaulty = true;
        return nullptr;
    }
    const auto found = std::find_if(map_->entries.begin(), map_->entries.end(),
                                    [&](const YamlEntry &entry) { return entry.key == field; });
    if (found != map_->entries.end()) {
        source.line = found->line;
        if (!std::holds_alternative<YamlNull>(found->value.content))
            return &found->value;
    }
    if (isRequired)
        addFault(field, source.line, "the " + recordType_ + " has no " + field,
                 "add '" + field + ":'");
    return nullptr;
}

const YamlScalar *RecordReader::scalar(const std::string &field, bool isRequired,
                                       const char *expected)
{
    const YamlNode *node = find(field, isRequired);
    if (!node)
        return nullptr;
    const auto *scalar = std::get_if<YamlScalar>(&node->content);
    if (!scalar)
        addFault(field, node->line, field + " is a list or a map",
                 std::string("write ") + expected);
    return scalar;
}

std::string RecordReader::text(const std::string &field)
{
    const YamlScalar *found = scalar(field, true, "one name");
    return found ? found->text : std::string();
}

std::uint32_t RecordReader::number(const std::string &field)
{
    const YamlNode *node = find(field, true);
    if (!node)
        return 0;
    const std::optional<std::uint32_t> number = parseNumber(*node);
    if (!number)
        addFault(field, node->line, field + " is not a whole number",
                 "write digits only, without quotes or sign");
    return number.value_or(0);
}

Milliseconds RecordReader::duration(const std::string &field, Milliseconds defaultValue)
{
    const YamlScalar *found = scalar(field, false, "a duration such as 500ms or 2s");
    if (!found)
        return defaultValue;
    const Result<Milliseconds> duration = parseDuration(found->text);
    if (!duration)
        addFault(field, fields_[field].line, field + " is not a duration",
                 "write a number and a unit, such as 500ms or 2s");
    return duration.value_or(defaultValue);
}

std::size_t RecordReader::choice(const std::string &field, const std::vector<std::string> &allowed,
                                 std::optional<std::size_t> defaultValue)
{
    const std::string remedy = "write one of " + joinNames(allowed);
    const YamlScalar *found = scalar(field, !defaultValue, "one word");
    if (!found)
        return defaultValue.value_or(0);
    const auto match = std::find(allowed.begin(), allowed.end(), found->text);
    if (match != allowed.end())
        return static_cast<std::size_t>(match - allowed.begin());
    addFault(field, fields_[field].line, field + " has an unknown value", remedy);
    return 0;
}

std::vector<std::string> RecordReader::names(const std::string &field)
{
    std::vector<std::string> names;
    items(field, [&](const YamlNode &item) {
        const auto *scalar = std::get_if<YamlScalar>(&item.content);
        if (!scalar)
            addFault(field, item.line, field + " holds something that is not a name",
                     "write names only");
        names.push_back(scalar ? scalar->text : std::string());
    });
    return names;
}

void RecordReader::items(const std::string &field,
                         const std::function<void(const YamlNode &)> &visit)
{
    const YamlNode *node = find(field, false);
    if (!node)
        return;
    const auto *list = std::get_if<YamlList>(&node->content);
    if (!list) {
        addFault(field, node->line, field + " is not a list",
                 "write a list, one '- item' per line, or [a, b]");
        return;
    }
    for (const YamlNode &item : list->items) {
        fields_[field].itemLines.push_back(item.line);
        visit(item);
    }
}

void RecordReader::entries(const std::string &field,
                           const std::function<void(const YamlEntry &)> &visit)
{
    const YamlNode *node = find(field, true);
    if (!node)
        return;
    const auto *map = std::get_if<YamlMap>(&node->content);
    if (!map) {
        addFault(field, node->line, field + " is not a map", "write 'name: value', one per line");
        return;
    }
    for (const YamlEntry &entry : map->entries)
        visit(entry);
}

std::map<std::string, FieldSource> RecordReader::finish()
{
    if (!map_)
        return std::move(fields_);
    std::vector<std::string> allowed;
    for (const auto &[field, source] : fields_)
        allowed.push_back(field);
    std::set<std::string> seen;
    for (const YamlEntry &entry : map_->entries) {
        if (!fields_.contains(entry.key))
            faults_->add(entry.line,
                         "the " + recordType_ + " has an unknown key '" + entry.key + "'",
                         "use only " + joinNames(allowed));
        else if (!seen.insert(entry.key).second)
            faults_->add(entry.line,
                         "the " + recordType_ + " has the key '" + entry.key + "' twice",
                         "remove one of them");
    }
    return std::move(fields_);
}

} // namespace cornelhead::detail
