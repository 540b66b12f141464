// Builds trees of bounded size from the events of yaml-cpp.
#include "config/yaml-tree.h"

#include <algorithm>
#include <optional>
#include <sstream>

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

namespace cornelhead::detail {

namespace {

// Thrown through yaml-cpp's parser and caught in parseYaml().
struct ParseFailure
{
    SourceFault fault;
};

[[noreturn]] void reject(const YAML::Mark &mark, std::string message, std::string remedy)
{
    const std::size_t line = mark.line < 0 ? 1 : static_cast<std::size_t>(mark.line) + 1;
    throw ParseFailure{SourceFault{"", line, std::move(message), std::move(remedy)}};
}

// Builds the tree of one document and throws at the first unsupported feature or exceeded limit.
class TreeBuilder : public YAML::EventHandler
{
public:
    YamlNode takeRoot() { return std::move(root_); }

    void OnDocumentStart(const YAML::Mark &) override { }
    void OnDocumentEnd() override { }

    void OnNull(const YAML::Mark &mark, YAML::anchor_t anchor) override
    {
        rejectAnchor(mark, anchor);
        addLeaf(mark, YamlNull{});
    }

    void OnAlias(const YAML::Mark &mark, YAML::anchor_t) override
    {
        reject(mark, "aliases are not supported", "write the value out");
    }

    void OnScalar(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor,
                  const std::string &value) override
    {
        rejectAnchor(mark, anchor);
        if (tag != "?" && tag != "!" && !tag.empty())
            rejectTag(mark);
        const bool isQuoted = tag == "!";
        if (!isQuoted && (value.empty() || value == "~" || value == "null"))
            addLeaf(mark, YamlNull{});
        else
            addLeaf(mark, YamlScalar{value, isQuoted});
    }

    void OnSequenceStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor,
                         YAML::EmitterStyle::value) override
    {
        open(mark, tag, anchor, YamlList{});
    }

    void OnSequenceEnd() override { close(); }

    void OnMapStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor,
                    YAML::EmitterStyle::value) override
    {
        open(mark, tag, anchor, YamlMap{});
    }

    void OnMapEnd() override { close(); }

private:
    struct Frame
    {
        YamlNode node;
        std::optional<std::string> key;
        std::size_t keyLine = 1;
    };

    static void rejectAnchor(const YAML::Mark &mark, YAML::anchor_t anchor)
    {
        if (anchor != 0)
            reject(mark, "anchors are not supported", "write the value out");
    }

    [[noreturn]] static void rejectTag(const YAML::Mark &mark)
    {
        reject(mark, "tags are not supported", "remove the tag");
    }

    void countNode(const YAML::Mark &mark)
    {
        if (++nodes_ > YamlLimits::nodes)
            reject(mark, "the file contains too many values",
                   "declare fewer records; the limit is " + std::to_string(YamlLimits::nodes)
                           + " values");
    }

    void open(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor,
              std::variant<YamlNull, YamlScalar, YamlList, YamlMap> content)
    {
        rejectAnchor(mark, anchor);
        if (tag != "?" && !tag.empty())
            rejectTag(mark);
        countNode(mark);
        if (expectsKey())
            reject(mark, "a key must be plain text", "write the key as one word");
        if (stack_.size() >= YamlLimits::depth)
            reject(mark, "lists and maps are nested too deep",
                   "nest at most " + std::to_string(YamlLimits::depth) + " levels");
        stack_.push_back({YamlNode{lineOf(mark), std::move(content)}, {}, 1});
    }

    void addLeaf(const YAML::Mark &mark,
                 std::variant<YamlNull, YamlScalar, YamlList, YamlMap> content)
    {
        countNode(mark);
        if (!expectsKey()) {
            add(YamlNode{lineOf(mark), std::move(content)});
            return;
        }
        const auto *scalar = std::get_if<YamlScalar>(&content);
        if (!scalar)
            reject(mark, "a key is empty", "write the key before the ':'");
        stack_.back().key = scalar->text;
        stack_.back().keyLine = lineOf(mark);
    }

    void close()
    {
        YamlNode node = std::move(stack_.back().node);
        stack_.pop_back();
        add(std::move(node));
    }

    void add(YamlNode node)
    {
        if (stack_.empty()) {
            root_ = std::move(node);
            return;
        }
        Frame &top = stack_.back();
        if (auto *list = std::get_if<YamlList>(&top.node.content)) {
            list->items.push_back(std::move(node));
            return;
        }
        std::get<YamlMap>(top.node.content)
                .entries.push_back({std::move(*top.key), top.keyLine, std::move(node)});
        top.key.reset();
    }

    bool expectsKey() const
    {
        return !stack_.empty() && std::holds_alternative<YamlMap>(stack_.back().node.content)
                && !stack_.back().key;
    }

    static std::size_t lineOf(const YAML::Mark &mark)
    {
        return mark.line < 0 ? 1 : static_cast<std::size_t>(mark.line) + 1;
    }

    YamlNode root_;
    std::size_t nodes_ = 0;
    // The open lists and maps, outermost first; at most the depth limit.
    std::vector<Frame> stack_;
};

std::size_t lineAt(std::string_view text, std::size_t offset)
{
    return 1 + static_cast<std::size_t>(std::count(text.begin(), text.begin() + offset, '\n'));
}

// Returns the length of the UTF-8 sequence at the start of `text`, or 0 if it is malformed.
std::size_t utf8Length(std::string_view text)
{
    const auto byte = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
    const auto isContinuation
            = [&](std::size_t i) { return i < text.size() && (byte(i) & 0xc0) == 0x80; };
    const unsigned char first = byte(0);
    if (first < 0x80)
        return 1;
    if (first >= 0xc2 && first <= 0xdf)
        return isContinuation(1) ? 2 : 0;
    if (first >= 0xe0 && first <= 0xef) {
        const bool isOverlong = first == 0xe0 && text.size() > 1 && byte(1) < 0xa0;
        const bool isSurrogate = first == 0xed && text.size() > 1 && byte(1) > 0x9f;
        return isContinuation(1) && isContinuation(2) && !isOverlong && !isSurrogate ? 3 : 0;
    }
    if (first >= 0xf0 && first <= 0xf4) {
        const bool isOverlong = first == 0xf0 && text.size() > 1 && byte(1) < 0x90;
        const bool isAboveUnicode = first == 0xf4 && text.size() > 1 && byte(1) > 0x8f;
        return isContinuation(1) && isContinuation(2) && isContinuation(3) && !isOverlong
                        && !isAboveUnicode
                ? 4
                : 0;
    }
    return 0;
}

bool isForbiddenControl(char c)
{
    return (static_cast<unsigned char>(c) < 0x20 && c != '\n' && c != '\r' && c != '\t')
            || c == 0x7f;
}

// Rejects text that yaml-cpp would misread: it guesses encodings and treats the byte 0x04 as the
// end of the file.
std::optional<SourceFault> findInvalidText(std::string_view text)
{
    for (std::size_t i = 0; i < text.size();) {
        const std::size_t length = utf8Length(text.substr(i));
        if (length == 0)
            return SourceFault{"", lineAt(text, i), "the file is not valid UTF-8",
                               "save it as UTF-8"};
        if (isForbiddenControl(text[i]))
            return SourceFault{"", lineAt(text, i), "the file contains a control character",
                               "remove it, and save the file as plain text"};
        i += length;
    }
    return std::nullopt;
}

std::optional<SourceFault> checkText(std::string_view text)
{
    if (text.size() > YamlLimits::bytes)
        return SourceFault{"", 1, "the file is too large",
                           "keep it below " + std::to_string(YamlLimits::bytes) + " bytes"};
    return findInvalidText(text);
}

YamlNode parseDocument(std::string_view text)
{
    std::istringstream in{std::string(text)};
    YAML::Parser parser(in);
    TreeBuilder builder;
    parser.HandleNextDocument(builder);
    TreeBuilder rest;
    if (parser.HandleNextDocument(rest))
        reject(YAML::Mark::null_mark(), "the file contains more than one document",
               "keep one document in each file");
    return builder.takeRoot();
}

} // namespace

tl::expected<YamlNode, SourceFault> parseYaml(std::string_view text)
{
    if (std::optional<SourceFault> fault = checkText(text))
        return tl::unexpected<SourceFault>(std::move(*fault));
    try {
        return parseDocument(text);
    } catch (const ParseFailure &failure) {
        return tl::unexpected<SourceFault>(failure.fault);
    } catch (const YAML::Exception &error) {
        const std::size_t line
                = error.mark.line < 0 ? 1 : static_cast<std::size_t>(error.mark.line) + 1;
        return tl::unexpected<SourceFault>(SourceFault{
                "", line, "the file is not valid YAML: " + error.msg, "correct the syntax"});
    }
}

} // namespace cornelhead::detail
