#include "gate_fixture.h"

#include "system_clock.h"

namespace jasminebank {

using namespace std::chrono_literals;

constexpr const char* fleet_key = "fleet key of the tests";
constexpr duration time_limit = 3s;
constexpr backend_server_id server_id{7};

gate_fixture::gate_fixture(const endpoint& server, std::uint32_t slots,
                           std::optional<cold_start_tolerance> cold_start)
    : server_(server), slots_(slots),
      gate_links_(link_hub::start({.self = {.vm_name = "gate", .run = {1}},
                                   .fleet_key = fleet_key,
                                   .on_stream =
                                       [this](const std::shared_ptr<link_stream>& it) {
                                           if (gate_ != nullptr)
                                               gate_->accept(it);
                                       }})),
      links_(link_hub::start({.self = {.vm_name = "entry", .run = {1}}, .fleet_key = fleet_key})),
      health_({.self = {1}, .run = {1}, .store = {}, .on_standing_changed = {}}, *gate_links_),
      poison_({.self = {1}}, *gate_links_),
      gate_(std::make_unique<gate>(gate_options{.run = {1},
                                                .announcement_ttl = 1h,
                                                .backend_idle = 1h,
                                                .threads = threads,
                                                .names = names(),
                                                .second_death_check = 1s,
                                                .cold_start = cold_start},
                                   health_, poison_))
{
    announce({1});
}

gate_fixture::~gate_fixture()
{
    links_->stop();
    health_.stop();
    gate_links_->stop();
    gate_->stop();
}

header_names gate_fixture::names()
{
    return {.request_id = "x-request-id",
            .not_run = "x-not-run",
            .success_mark = "x-mark",
            .status_guarantees_not_run = true};
}

void gate_fixture::announce(incarnation run, service_id service)
{
    gate_->announce(
        {.server = {.id = server_id, .service = service, .address = server_, .slots = slots_},
         .run = run},
        boot_now());
}

std::shared_ptr<link_stream> gate_fixture::open(const std::string& id, duration time_left,
                                                service_id service)
{
    message_head head{.method = "GET", .path = "/a", .status = 0, .fields = {}};
    if (!id.empty())
        head.fields.push_back({.name = names().request_id, .value = id});
    write_dispatch({.server = server_id,
                    .gate_run = {1},
                    .route = {1},
                    .service = service,
                    .time_left = time_left,
                    .may_queue = true},
                   head);
    return links_->open(gate_links_->local(), std::move(head), true);
}

std::string gate_fixture::send(const std::string& id, service_id service)
{
    const auto stream = open(id, time_limit, service);
    const auto answer = stream->read_head(boot_now() + time_limit + 2s);
    if (failed(answer))
        return "no answer";
    const std::string* out = find_field(value_of(answer), outcome_field);
    return out == nullptr ? "no outcome" : *out;
}

void gate_fixture::set_evacuated(bool evacuated)
{
    gate_->set_evacuated(evacuated, boot_now());
}

std::size_t gate_fixture::waiting() const
{
    return gate_->loads(boot_now()).front().waiting;
}

} // namespace jasminebank
