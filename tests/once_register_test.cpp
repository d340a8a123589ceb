// A request runs at most once per organisation and key within the retention, under lost, repeated
// and late messages, crashes, pauses and wrong clocks.

#include "once_codec.h"
#include "once_register.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <map>
#include <random>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr idempotency_register_options options{.retention = 20s,
                                               .clock_guard = 5s,
                                               .future_allowance = 2s,
                                               .max_keys = 64,
                                               .max_keys_per_organisation = 32};
constexpr duration lease_duration = 1s;
constexpr duration answer_timeout = 1s;
constexpr duration max_dispatch_delay = 2s;
constexpr std::size_t vms = 3;

struct fault_shares {
    double lost = 0;
    double repeated = 0;
    double late = 0;
    double entry_crashes = 0;       // between claim and completion
    double coordinator_crashes = 0; // in each half second
    double coordinator_pauses = 0;
    bool wrong_clocks = false;
};

idempotency_key key_of(std::uint64_t organisation, std::string_view text)
{
    return {.organisation = {organisation}, .text = digest_of(text)};
}

// Event-driven simulation of VMs that are both entry and coordinator, of callers that resend their
// requests, and of an unreliable network.
class simulated_fleet {
public:
    simulated_fleet(const fault_shares& faults, std::uint64_t seed) : faults_(faults), random_(seed)
    {
        for (std::size_t n = 0; n < vms; ++n)
            vms_.push_back(
                {.keys = idempotency_register(options), .clock_error = random_clock_error(1499)});
        start_lease(0);
        schedule(0ms, [this] { renew_or_replace_lease(); });
        for (const std::uint64_t organisation : {1, 2}) {
            for (const std::string text : {"a", "b", "c", "d", "e", "f", "g", "h"})
                add_caller(key_of(organisation, text), random_below(3) != 0);
        }
    }

    void run(duration length)
    {
        while (!events_.empty() && events_.begin()->first <= time_point(length)) {
            const auto next = events_.extract(events_.begin());
            now_ = next.key();
            next.mapped()();
        }
    }

    struct sent_request {
        idempotency_key key;
        std::optional<claim_answer> answer;
        bool is_first = false;
    };
    std::vector<sent_request> sent_requests;

    // The shortest time between two runs of one key; duration::max() if no key ran twice.
    duration shortest_run_interval() const
    {
        duration out = duration::max();
        for (const auto& [key, times] : runs_) {
            for (std::size_t n = 1; n < times.size(); ++n)
                out = std::min(out, times[n] - times[n - 1]);
        }
        return out;
    }

private:
    struct vm_state {
        idempotency_register keys;
        std::chrono::milliseconds clock_error{};
        std::uint64_t run = 1;
        std::uint64_t attempts = 0;
        time_point paused_until = {};
        std::size_t known_coordinator = 0; // as last learnt by the entry on this VM
        std::uint64_t known_epoch = 0;
    };

    std::uint64_t random_below(std::uint64_t n) { return random_() % n; }
    bool chance(double share) { return static_cast<double>(random_below(1'000'000)) < share * 1e6; }
    std::chrono::milliseconds random_clock_error(std::int64_t max_value)
    {
        const auto span = static_cast<std::uint64_t>(2 * max_value + 1);
        const auto error = static_cast<std::int64_t>(random_below(span)) - max_value;
        return std::chrono::milliseconds(faults_.wrong_clocks ? error : 0);
    }
    void schedule(duration delay, std::function<void()> it)
    {
        events_.emplace(now_ + delay, std::move(it));
    }
    clock_reading moment(std::size_t vm) const { return {.boot = now_, .wall = wall(vm)}; }
    wall_time wall(std::size_t vm) const
    {
        const auto since = std::chrono::floor<std::chrono::milliseconds>(now_.time_since_epoch());
        return wall_time(1'700'000'000'000ms + since + vms_[vm].clock_error);
    }

    // Delivers a message once, twice, late or never.
    void send_message(const std::function<void()>& it)
    {
        const std::uint64_t copies = chance(faults_.lost) ? 0 : chance(faults_.repeated) ? 2 : 1;
        for (std::uint64_t n = 0; n < copies; ++n) {
            const std::uint64_t max_value = chance(faults_.late) ? 10'000 : 50;
            schedule(std::chrono::milliseconds(1 + random_below(max_value)), it);
        }
    }

    void start_lease(std::size_t vm)
    {
        coordinator_ = vm;
        lease_until_ = now_ + lease_duration;
        vms_[vm].keys.begin_lease(++epoch_, lease_until_, moment(vm));
        for (vm_state& it : vms_) {
            const std::uint64_t max_value = chance(faults_.late) ? 30'000 : 50;
            schedule(std::chrono::milliseconds(epoch_ == 1 ? 0 : random_below(max_value)),
                     [&it, vm, epoch = epoch_] { learn_coordinator(it, vm, epoch); });
        }
    }

    static void learn_coordinator(vm_state& it, std::size_t coordinator, std::uint64_t epoch)
    {
        if (epoch <= it.known_epoch)
            return;
        it.known_coordinator = coordinator;
        it.known_epoch = epoch;
    }

    // Renews the lease, or grants an expired one to the next VM. Injects crashes and pauses of the
    // coordinator.
    void renew_or_replace_lease()
    {
        vm_state& coordinator = vms_[coordinator_];
        if (chance(faults_.coordinator_crashes)) {
            restart(coordinator_);
            coordinator.paused_until = now_ + lease_duration;
        }
        else if (chance(faults_.coordinator_pauses)) {
            coordinator.paused_until = now_ + 1s + std::chrono::milliseconds(random_below(8000));
        }
        if (now_ >= coordinator.paused_until && now_ < lease_until_ &&
            coordinator.keys.epoch() == epoch_) {
            lease_until_ = now_ + lease_duration;
            coordinator.keys.extend_lease(lease_until_);
        }
        else if (now_ >= lease_until_) {
            start_lease((coordinator_ + 1) % vms);
        }
        schedule(500ms, [this] { renew_or_replace_lease(); });
    }

    void restart(std::size_t vm)
    {
        vm_state& it = vms_[vm];
        it.keys = idempotency_register(options);
        it.attempts = 0;
        const incarnation alive{++it.run};
        for (vm_state& other : vms_)
            schedule(100ms, [&other, vm, alive] { other.keys.mark_claims_unknown({vm}, alive); });
    }

    // Sends the same request repeatedly, each time through a random entry.
    void add_caller(const idempotency_key& key, bool has_time)
    {
        const duration first = std::chrono::milliseconds(random_below(25'000));
        const std::chrono::milliseconds error = random_clock_error(12'000);
        const auto key_created = wall_time(
            1'700'000'000'000ms + std::chrono::floor<std::chrono::milliseconds>(first) + error);
        for (std::size_t n = 0; n < 20; ++n) {
            const duration again =
                std::chrono::milliseconds(n == 0 ? 0 : 100 + random_below(30'000));
            schedule(first + again, [this, key, has_time, key_created, n] {
                receive_request(
                    random_below(vms),
                    {.key = key,
                     .fingerprint = 7,
                     .key_created = has_time ? std::optional(key_created) : std::nullopt},
                    n == 0);
            });
        }
    }

    void receive_request(std::size_t vm, idempotency_claim claim, bool is_first)
    {
        if (now_ < vms_[vm].paused_until)
            return;
        claim.attempt = {.vm = {vm}, .run = {vms_[vm].run}, .number = ++vms_[vm].attempts};
        claim.epoch = vms_[vm].known_epoch;
        sent_requests.push_back({.key = claim.key, .answer = std::nullopt, .is_first = is_first});
        const std::size_t number = sent_requests.size() - 1;
        for (const duration again : {0ms, 300ms, 600ms}) {
            schedule(again, [this, claim, number, to = vms_[vm].known_coordinator] {
                if (!sent_requests[number].answer)
                    send_message([=, this] { deliver_claim(to, claim, number); });
            });
        }
        schedule(answer_timeout, [this, claim, number, to = vms_[vm].known_coordinator] {
            if (!sent_requests[number].answer) {
                sent_requests[number].answer = claim_refused{};
                send_completion(to, claim, claim_outcome::not_run);
            }
        });
    }

    // A paused coordinator handles the messages that arrived meanwhile when it resumes.
    void deliver_claim(std::size_t vm, const idempotency_claim& claim, std::size_t number)
    {
        if (now_ < vms_[vm].paused_until) {
            schedule(vms_[vm].paused_until - now_, [=, this] { deliver_claim(vm, claim, number); });
            return;
        }
        const auto answer = vms_[vm].keys.claim(claim, moment(vm));
        send_message([=, this] { deliver_answer(vm, claim, number, answer); });
    }

    void deliver_answer(std::size_t coordinator, const idempotency_claim& claim, std::size_t number,
                        const claim_answer& answer)
    {
        const vm_state& entry = vms_[claim.attempt.vm.value];
        if (sent_requests[number].answer || entry.run != claim.attempt.run.value)
            return;
        sent_requests[number].answer = answer;
        if (!std::holds_alternative<claim_granted>(answer))
            return;
        const auto outcome = static_cast<claim_outcome>(random_below(3));
        const bool runs = outcome == claim_outcome::ran ||
                          (outcome == claim_outcome::unknown && random_below(2) == 0);
        const duration delay = std::chrono::milliseconds(random_below(500));
        if (runs)
            schedule(delay, [this, key = claim.key] { runs_[key].push_back(now_); });
        if (chance(faults_.entry_crashes)) {
            restart(claim.attempt.vm.value);
            return;
        }
        schedule(delay, [=, this] { send_completion(coordinator, claim, outcome); });
        schedule(delay + 200ms, [=, this] { send_completion(coordinator, claim, outcome); });
    }

    void send_completion(std::size_t coordinator, const idempotency_claim& claim,
                         claim_outcome outcome)
    {
        const claim_completion it{.key = claim.key,
                                  .fingerprint = claim.fingerprint,
                                  .attempt = claim.attempt,
                                  .epoch = claim.epoch,
                                  .outcome = outcome,
                                  .status = 200};
        send_message([=, this] { vms_[coordinator].keys.complete(it, now_); });
    }

    struct key_order {
        bool operator()(const idempotency_key& a, const idempotency_key& b) const
        {
            return std::tie(a.organisation, a.text) < std::tie(b.organisation, b.text);
        }
    };

    fault_shares faults_;
    std::mt19937_64 random_;
    time_point now_;
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<vm_state> vms_;
    std::size_t coordinator_ = 0;
    std::uint64_t epoch_ = 0;
    time_point lease_until_;
    std::map<idempotency_key, std::vector<time_point>, key_order> runs_;
};

double arbitrary_share(double max_share)
{
    return *rc::gen::element(0.0, max_share / 4, max_share);
}

} // namespace

RC_GTEST_PROP(once_register, key_runs_at_most_once_within_the_retention_under_faults, ())
{
    const fault_shares faults{.lost = arbitrary_share(0.2),
                              .repeated = arbitrary_share(0.3),
                              .late = arbitrary_share(0.3),
                              .entry_crashes = arbitrary_share(0.3),
                              .coordinator_crashes = arbitrary_share(0.1),
                              .coordinator_pauses = arbitrary_share(0.1),
                              .wrong_clocks = *rc::gen::arbitrary<bool>()};
    simulated_fleet fleet(faults, *rc::gen::arbitrary<std::uint64_t>());
    fleet.run(60s);
    RC_ASSERT(fleet.shortest_run_interval() >= options.retention - max_dispatch_delay);
}

RC_GTEST_PROP(once_register, without_faults_first_claims_are_granted_and_none_is_refused, ())
{
    simulated_fleet fleet({}, *rc::gen::arbitrary<std::uint64_t>());
    fleet.run(60s);
    for (const auto& it : fleet.sent_requests) {
        if (!it.answer)
            continue; // the simulation ended before the answer arrived
        RC_ASSERT(!std::holds_alternative<claim_refused>(*it.answer));
        RC_ASSERT(!it.is_first || std::holds_alternative<claim_granted>(*it.answer));
    }
}

namespace {

constexpr clock_reading start{.boot = time_point(1000s), .wall = wall_time(1'700'000'000s)};

clock_reading after(duration it)
{
    return {.boot = start.boot + it,
            .wall = start.wall + std::chrono::floor<std::chrono::milliseconds>(it)};
}

idempotency_claim claim_of(std::string_view text, std::uint64_t number, std::uint64_t epoch = 1)
{
    return {.key = key_of(1, text),
            .fingerprint = 7,
            .attempt = {.vm = {1}, .run = {1}, .number = number},
            .epoch = epoch};
}

idempotency_register register_of(std::uint64_t epoch, idempotency_register_options it = options)
{
    idempotency_register out(it);
    out.begin_lease(epoch, start.boot + 1h, start);
    return out;
}

} // namespace

TEST(once_register, refuses_a_used_key_for_another_request)
{
    idempotency_register it = register_of(1);
    it.claim(claim_of("a", 1), start);
    idempotency_claim other = claim_of("a", 2);
    other.fingerprint = 8;
    EXPECT_EQ(it.claim(other, start), claim_answer(claim_refused{claim_refusal::key_reused}));
}

TEST(once_register, full_register_refuses_new_keys_and_keeps_recorded_ones)
{
    idempotency_register it =
        register_of(1, {.retention = 20s, .max_keys = 3, .max_keys_per_organisation = 2});
    it.claim(claim_of("a", 1), start);
    it.claim(claim_of("b", 2), start);
    const claim_answer full = claim_refused{claim_refusal::register_full};
    EXPECT_EQ(it.claim(claim_of("c", 3), start), full);
    EXPECT_EQ(it.claim(claim_of("a", 4), start), claim_answer(claim_in_progress{}));
    idempotency_claim other = claim_of("a", 5);
    other.key = key_of(2, "a");
    EXPECT_EQ(it.claim(other, start), claim_answer(claim_granted{1}));
    EXPECT_EQ(it.claim(claim_of("c", 6), after(20s)), claim_answer(claim_granted{1}));
}

TEST(once_register, claim_withdrawn_before_its_arrival_is_refused)
{
    idempotency_register it = register_of(1);
    const idempotency_claim late = claim_of("a", 1);
    it.complete({.key = late.key,
                 .fingerprint = 7,
                 .attempt = late.attempt,
                 .epoch = 1,
                 .outcome = claim_outcome::not_run},
                start.boot);
    EXPECT_EQ(it.claim(late, start), claim_answer(claim_refused{claim_refusal::attempt_withdrawn}));
    EXPECT_EQ(it.claim(claim_of("a", 2), start), claim_answer(claim_granted{1}));
}

TEST(once_register, claim_of_a_crashed_entry_has_an_unknown_outcome)
{
    idempotency_register it = register_of(1);
    it.claim(claim_of("a", 1), start);
    it.mark_claims_unknown({1}, {2});
    idempotency_claim again = claim_of("a", 1);
    again.attempt.run = {2};
    EXPECT_EQ(it.claim(again, after(19s)), claim_answer(claim_outcome_unknown{}));
}

TEST(once_register, repeated_claim_of_one_attempt_gets_the_same_answer)
{
    idempotency_register it = register_of(1);
    for (int n = 0; n < 2; ++n)
        EXPECT_EQ(it.claim(claim_of("a", 1), start), claim_answer(claim_granted{1}));
    EXPECT_EQ(it.claim(claim_of("a", 2), start), claim_answer(claim_in_progress{}));
}

TEST(once_register, only_the_first_completion_is_accepted)
{
    idempotency_register it = register_of(1);
    it.claim(claim_of("a", 1), start);
    claim_completion end{.key = key_of(1, "a"),
                         .fingerprint = 7,
                         .attempt = claim_of("a", 1).attempt,
                         .epoch = 2,
                         .outcome = claim_outcome::not_run};
    EXPECT_FALSE(it.complete(end, start.boot)); // epoch of another lease
    end.epoch = 1;
    end.outcome = claim_outcome::unknown;
    EXPECT_TRUE(it.complete(end, start.boot));
    end.outcome = claim_outcome::not_run;
    EXPECT_FALSE(it.complete(end, start.boot));
    EXPECT_EQ(it.claim(claim_of("a", 2), start), claim_answer(claim_outcome_unknown{}));
}

TEST(once_register, grants_only_during_its_lease)
{
    idempotency_register it(options);
    const claim_answer refused = claim_refused{claim_refusal::not_coordinator};
    EXPECT_EQ(it.claim(claim_of("a", 1, 0), start), refused);
    it.begin_lease(1, start.boot + 1s, start);
    EXPECT_EQ(it.claim(claim_of("a", 1, 2), start), refused);
    EXPECT_EQ(it.claim(claim_of("a", 1), after(1s)), refused);
    it.extend_lease(start.boot + 2s);
    EXPECT_EQ(it.claim(claim_of("a", 1), after(1s)), claim_answer(claim_granted{1}));
    it.end_lease();
    EXPECT_EQ(it.claim(claim_of("a", 1), after(1s)), refused);
}

TEST(once_register, successor_grants_newer_keys_at_once_and_others_after_the_retention)
{
    idempotency_register it = register_of(2);
    idempotency_claim claim = claim_of("a", 1, 2);
    EXPECT_EQ(it.claim(claim, start),
              claim_answer(claim_refused{claim_refusal::predecessor_may_have_granted}));
    claim.key_created = after(5s).wall;
    EXPECT_EQ(it.claim(claim, after(6s)),
              claim_answer(claim_refused{claim_refusal::predecessor_may_have_granted}));
    claim.key_created = after(6s).wall;
    EXPECT_EQ(it.claim(claim, after(6s)), claim_answer(claim_granted{2}));
    EXPECT_EQ(it.claim(claim_of("b", 2, 2), after(20s)), claim_answer(claim_granted{2}));
}

// Guards against a second grant of a key that another coordinator granted before the regions of its
// organisation changed, also under the first lease of a shard.
TEST(once_register, grants_only_newer_keys_after_their_placement_changed)
{
    idempotency_register it = register_of(1);
    const clock_reading placed = after(3s);
    idempotency_claim claim = claim_of("a", 1);
    const claim_answer refused = claim_refused{claim_refusal::predecessor_may_have_granted};
    EXPECT_EQ(it.claim(claim, start, placed), refused);
    claim.key_created = after(8s).wall;
    EXPECT_EQ(it.claim(claim, after(9s), placed), refused);
    claim.key_created = after(9s).wall;
    EXPECT_EQ(it.claim(claim, after(9s), placed), claim_answer(claim_granted{1}));
    EXPECT_EQ(it.claim(claim_of("b", 2), after(3s)), claim_answer(claim_granted{1}));
}

TEST(uuid_time, reads_version_7_only)
{
    EXPECT_EQ(uuid_time("017F22E2-79B0-7cc3-98c4-dc0c0c07398f"), wall_time(1645557742000ms));
    for (const char* text :
         {"", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", "017f22e2-79b0-7cc3-78c4-dc0c0c07398f",
          "017f22e2-79b0-7cc3-98c4-dc0c0c07398", "017f22e2_79b0-7cc3-98c4-dc0c0c07398f",
          "g17f22e2-79b0-7cc3-98c4-dc0c0c07398f"})
        EXPECT_FALSE(uuid_time(text)) << text;
}

RC_GTEST_PROP(once_codec, decoding_an_encoded_message_returns_it, ())
{
    idempotency_claim claim =
        claim_of(*rc::gen::arbitrary<std::string>(), *rc::gen::arbitrary<std::uint64_t>(),
                 *rc::gen::arbitrary<std::uint64_t>());
    if (*rc::gen::arbitrary<bool>())
        claim.key_created = start.wall;
    RC_ASSERT(decode_claim_message(encode_claim_message(claim_message(claim))) ==
              claim_message(claim));
    const claim_completion completion{.key = claim.key,
                                      .attempt = claim.attempt,
                                      .epoch = claim.epoch,
                                      .outcome = claim_outcome::ran,
                                      .status = 201};
    const std::string text = encode_claim_message(claim_message(completion));
    RC_ASSERT(decode_claim_message(text) == claim_message(completion));
    RC_ASSERT(
        !decode_claim_message(text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size()))));
    for (const claim_answer& it :
         {claim_answer(claim_granted{claim.epoch}), claim_answer(claim_in_progress{}),
          claim_answer(claim_executed{503}), claim_answer(claim_outcome_unknown{}),
          claim_answer(claim_refused{claim_refusal::attempt_withdrawn})})
        RC_ASSERT(decode_claim_answer(encode_claim_message(it)) == it);
}

RC_GTEST_PROP(once_codec, decoders_accept_arbitrary_bytes_without_failing,
              (const std::string& text))
{
    decode_claim_message(text);
    decode_claim_answer(text);
}

TEST(once_codec, excessive_announced_sizes_and_nesting_are_refused)
{
    EXPECT_FALSE(decode_claim_message("\x9b\xff\xff\xff\xff\xff\xff\xff\xff"));
    EXPECT_FALSE(decode_claim_message(std::string(1'000'000, '\x81')));
    EXPECT_FALSE(decode_claim_answer(std::string("\x82\x05\x00", 3)));
}
