// Converts frames field by field and rejects malformed ones.
#include "cornelhead/distribution/wire.h"

#include <nlohmann/json.hpp>

namespace cornelhead {
namespace detail {

tl::unexpected<Error> invalidMessage(const std::string &what)
{
    return fail(ErrorKind::InvalidMessage, what, "run the same protocol version on all nodes");
}

Endpoint serverFromWire(const inner::Server &wire, const NodeInfo &node, const Address &address)
{
    Endpoint server;
    server.id = ServerId(wire.id());
    server.service = ServiceId(wire.service());
    server.version = VersionId(wire.version());
    server.dataCentre = node.dataCentre;
    server.address = address;
    server.slots = wire.slots();
    server.connections = wire.connections();
    server.state = static_cast<ServerState>(wire.state());
    server.sequence = wire.sequence();
    server.node = node.id;
    return server;
}

} // namespace detail

inner::NodeInfo toWire(const NodeInfo &info)
{
    inner::NodeInfo wire;
    wire.set_id(info.id.value());
    wire.set_data_centre(info.dataCentre.value());
    wire.set_proxy(info.proxy.toString());
    wire.set_inner(info.inner.toString());
    wire.set_started_at_ms(info.startedAtMs);
    return wire;
}

Result<NodeInfo> fromWire(const inner::NodeInfo &wire)
{
    const Result<Address> proxy = parseAddress(wire.proxy());
    const Result<Address> inner = parseAddress(wire.inner());
    if (wire.id().empty() || wire.data_centre().empty() || !proxy || !inner)
        return detail::invalidMessage("node without id, data centre or valid address");
    return NodeInfo{NodeId(wire.id()), DataCentreId(wire.data_centre()), *proxy, *inner,
                    wire.started_at_ms()};
}

inner::Record toWire(const NodeRecord &record)
{
    inner::Record wire;
    *wire.mutable_node() = toWire(record.info);
    wire.set_sequence(record.sequence.value());
    wire.set_gone(record.gone);
    wire.set_caretaker(record.caretaker.value());
    for (const Endpoint &server : record.servers) {
        inner::Server *out = wire.add_servers();
        out->set_id(server.id.value());
        out->set_service(server.service.value());
        out->set_version(server.version.value());
        out->set_address(server.address.toString());
        out->set_slots(server.slots);
        out->set_connections(server.connections);
        out->set_state(static_cast<inner::ServerState>(server.state));
        out->set_sequence(server.sequence);
    }
    return wire;
}

Result<NodeRecord> fromWire(const inner::Record &wire)
{
    const Result<NodeInfo> info = fromWire(wire.node());
    if (!info)
        return tl::unexpected(info.error());
    NodeRecord record;
    record.info = *info;
    record.sequence = RecordSequence(wire.sequence());
    record.gone = wire.gone();
    record.caretaker = NodeId(wire.caretaker());
    for (const inner::Server &server : wire.servers()) {
        const Result<Address> address = parseAddress(server.address());
        const bool isValidState
                = server.state() >= inner::STARTING && server.state() <= inner::DRAINING;
        if (!address || server.id().empty() || !isValidState)
            return detail::invalidMessage(
                    "backend server without id, valid state or valid address");
        record.servers.push_back(detail::serverFromWire(server, *info, *address));
    }
    return record;
}

inner::Outcomes toWire(const OutcomeBatch &batch)
{
    inner::Outcomes wire;
    for (const auto &[key, sums] : batch) {
        inner::OutcomeSum *out = wire.add_sums();
        out->set_service(key.service.value());
        out->set_version(key.version.value());
        out->set_route(key.route.value());
        out->set_data_centre(key.dataCentre.value());
        out->set_calls(sums.calls);
        out->set_failures(sums.failures);
        out->set_shed(sums.shed);
        out->set_cold(sums.cold);
        for (const std::uint64_t count : sums.latencies)
            out->add_latencies(count);
    }
    return wire;
}

OutcomeBatch fromWire(const inner::Outcomes &wire)
{
    OutcomeBatch batch;
    for (const inner::OutcomeSum &in : wire.sums()) {
        const OutcomeKey key{ServiceId(in.service()), VersionId(in.version()), RouteId(in.route()),
                             DataCentreId(in.data_centre())};
        OutcomeSums sums;
        sums.calls = in.calls();
        sums.failures = in.failures();
        sums.shed = in.shed();
        sums.cold = in.cold();
        const int buckets = std::min<int>(in.latencies_size(), static_cast<int>(latencyBuckets));
        for (int i = 0; i < buckets; ++i)
            sums.latencies[static_cast<std::size_t>(i)] = in.latencies(i);
        batch[key].add(sums);
    }
    return batch;
}

inner::Relays toWire(const RelayDirectory &directory)
{
    inner::Relays wire;
    wire.set_store_revision(directory.storeRevision.value());
    for (const auto &[key, info] : directory.relays) {
        inner::RelayEntry *entry = wire.add_entries();
        entry->set_key(key);
        *entry->mutable_node() = toWire(info);
    }
    return wire;
}

Result<RelayDirectory> fromWire(const inner::Relays &wire)
{
    RelayDirectory directory;
    directory.storeRevision = ModRevision(wire.store_revision());
    for (const inner::RelayEntry &entry : wire.entries()) {
        const Result<NodeInfo> info = fromWire(entry.node());
        if (!info)
            return tl::unexpected(info.error());
        directory.relays[entry.key()] = *info;
    }
    return directory;
}

inner::Move toWire(const Move &move)
{
    inner::Move wire;
    wire.set_service(move.service.value());
    wire.set_mod_revision(move.modRevision.value());
    wire.set_json(encodeMove(move));
    return wire;
}

Result<Move> fromWire(const inner::Move &wire)
{
    Result<Move> move = decodeMove(wire.json());
    if (move)
        move->modRevision = ModRevision(wire.mod_revision());
    return move;
}

std::string encodeNodeInfo(const NodeInfo &info)
{
    return nlohmann::json{{"id", info.id.value()},
                          {"dataCentre", info.dataCentre.value()},
                          {"proxy", info.proxy.toString()},
                          {"inner", info.inner.toString()},
                          {"startedAtMs", info.startedAtMs}}
            .dump();
}

Result<NodeInfo> decodeNodeInfo(std::string_view json)
{
    const auto parsed = nlohmann::json::parse(json, nullptr, false);
    if (!parsed.is_object())
        return detail::invalidMessage("value of a relay slot is not a JSON object");
    const auto text = [&](const char *name) {
        const auto field = parsed.find(name);
        return field != parsed.end() && field->is_string() ? field->get<std::string>() : "";
    };
    inner::NodeInfo wire;
    wire.set_id(text("id"));
    wire.set_data_centre(text("dataCentre"));
    wire.set_proxy(text("proxy"));
    wire.set_inner(text("inner"));
    const auto started = parsed.find("startedAtMs");
    if (started != parsed.end() && started->is_number_integer())
        wire.set_started_at_ms(started->get<std::int64_t>());
    return fromWire(wire);
}

} // namespace cornelhead
