// At most one run for each organisation and key within the retention, whatever fails.

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

constexpr once_register_options options{.retention = 20s,
                                        .clock_guard = 5s,
                                        .future_allowance = 2s,
                                        .keys = 64,
                                        .keys_of_an_organisation = 32};
constexpr duration mandate_lasts = 1s;
constexpr duration answer_wait = 1s;
constexpr duration dispatch_within = 2s;
constexpr std::size_t vms = 3;

struct fault_shares {
    double lost = 0;
    double repeated = 0;
    double late = 0;
    double entry_dies = 0; // between claim and settlement
    double home_dies = 0;  // each half second
    double home_freezes = 0;
    bool wrong_clocks = false;
};

once_key key_of(std::uint64_t organisation, std::string_view text)
{
    return {.organisation = {organisation}, .text = digest_of(text)};
}

// Entries and homes on the same VMs, callers that resend, and a network; one queue of events.
class once_fleet {
public:
    once_fleet(const fault_shares& faults, std::uint64_t seed) : faults_(faults), random_(seed)
    {
        for (std::size_t n = 0; n < vms; ++n)
            vms_.push_back({.home = once_register(options), .clock_error = error_up_to(1499)});
        begin(0);
        at(0ms, [this] { watch_mandate(); });
        for (const std::uint64_t organisation : {1, 2}) {
            for (const std::string text : {"a", "b", "c", "d", "e", "f", "g", "h"})
                add_caller(key_of(organisation, text), below(3) != 0);
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

    struct send {
        once_key key;
        std::optional<once_answer> answer;
        bool is_first = false;
    };
    std::vector<send> sends;

    // The shortest time between two runs of one key; the longest duration if no key ran twice.
    duration shortest_between_runs() const
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
        once_register home;
        std::chrono::milliseconds clock_error{};
        std::uint64_t run = 1;
        std::uint64_t attempts = 0;
        time_point frozen_until = {};
        std::size_t known_holder = 0; // as the entry on this VM last heard
        std::uint64_t known_epoch = 0;
    };

    std::uint64_t below(std::uint64_t n) { return random_() % n; }
    bool chance(double share) { return static_cast<double>(below(1'000'000)) < share * 1e6; }
    std::chrono::milliseconds error_up_to(std::int64_t most)
    {
        const auto span = static_cast<std::uint64_t>(2 * most + 1);
        const auto error = static_cast<std::int64_t>(below(span)) - most;
        return std::chrono::milliseconds(faults_.wrong_clocks ? error : 0);
    }
    void at(duration delay, std::function<void()> it)
    {
        events_.emplace(now_ + delay, std::move(it));
    }
    once_moment moment(std::size_t vm) const { return {.boot = now_, .wall = wall(vm)}; }
    wall_time wall(std::size_t vm) const
    {
        const auto since = std::chrono::floor<std::chrono::milliseconds>(now_.time_since_epoch());
        return wall_time(1'700'000'000'000ms + since + vms_[vm].clock_error);
    }

    // Delivers a message once, twice, late or never.
    void post(std::function<void()> it)
    {
        const std::uint64_t copies = chance(faults_.lost) ? 0 : chance(faults_.repeated) ? 2 : 1;
        for (std::uint64_t n = 0; n < copies; ++n) {
            const std::uint64_t most = chance(faults_.late) ? 10'000 : 50;
            at(std::chrono::milliseconds(1 + below(most)), it);
        }
    }

    void begin(std::size_t vm)
    {
        holder_ = vm;
        ends_ = now_ + mandate_lasts;
        vms_[vm].home.begin(++epoch_, ends_, moment(vm));
        for (vm_state& it : vms_) {
            const std::uint64_t most = chance(faults_.late) ? 30'000 : 50;
            at(std::chrono::milliseconds(epoch_ == 1 ? 0 : below(most)),
               [&it, vm, epoch = epoch_] { hear_of(it, vm, epoch); });
        }
    }

    static void hear_of(vm_state& it, std::size_t holder, std::uint64_t epoch)
    {
        if (epoch <= it.known_epoch)
            return;
        it.known_holder = holder;
        it.known_epoch = epoch;
    }

    // Renews, replaces a holder whose mandate has ended, and breaks holders.
    void watch_mandate()
    {
        vm_state& holder = vms_[holder_];
        if (chance(faults_.home_dies)) {
            restart(holder_);
            holder.frozen_until = now_ + mandate_lasts;
        }
        else if (chance(faults_.home_freezes)) {
            holder.frozen_until = now_ + 1s + std::chrono::milliseconds(below(8000));
        }
        if (now_ >= holder.frozen_until && now_ < ends_ && holder.home.epoch() == epoch_) {
            ends_ = now_ + mandate_lasts;
            holder.home.extend(ends_);
        }
        else if (now_ >= ends_) {
            begin((holder_ + 1) % vms);
        }
        at(500ms, [this] { watch_mandate(); });
    }

    void restart(std::size_t vm)
    {
        vm_state& it = vms_[vm];
        it.home = once_register(options);
        it.attempts = 0;
        const incarnation alive{++it.run};
        for (vm_state& other : vms_)
            at(100ms, [&other, vm, alive] { other.home.claimers_gone({vm}, alive); });
    }

    // Sends the same request again and again, through any entry.
    void add_caller(const once_key& key, bool tells_time)
    {
        const duration first = std::chrono::milliseconds(below(25'000));
        const std::chrono::milliseconds error = error_up_to(12'000);
        const auto made = wall_time(1'700'000'000'000ms +
                                    std::chrono::floor<std::chrono::milliseconds>(first) + error);
        for (std::size_t n = 0; n < 20; ++n) {
            const duration again = std::chrono::milliseconds(n == 0 ? 0 : 100 + below(30'000));
            at(first + again, [this, key, tells_time, made, n] {
                arrive(below(vms),
                       {.key = key,
                        .fingerprint = 7,
                        .made = tells_time ? std::optional(made) : std::nullopt},
                       n == 0);
            });
        }
    }

    void arrive(std::size_t vm, once_claim claim, bool is_first)
    {
        if (now_ < vms_[vm].frozen_until)
            return;
        claim.attempt = {.vm = {vm}, .run = {vms_[vm].run}, .number = ++vms_[vm].attempts};
        claim.epoch = vms_[vm].known_epoch;
        sends.push_back({.key = claim.key, .answer = std::nullopt, .is_first = is_first});
        const std::size_t number = sends.size() - 1;
        for (const duration again : {0ms, 300ms, 600ms}) {
            at(again, [this, claim, number, to = vms_[vm].known_holder] {
                if (!sends[number].answer)
                    post([=, this] { reach_home(to, claim, number); });
            });
        }
        at(answer_wait, [this, claim, number, to = vms_[vm].known_holder] {
            if (!sends[number].answer) {
                sends[number].answer = once_refused{};
                settle(to, claim, once_outcome::not_run);
            }
        });
    }

    // A frozen home reads what came meanwhile when it wakes.
    void reach_home(std::size_t vm, const once_claim& claim, std::size_t number)
    {
        if (now_ < vms_[vm].frozen_until) {
            at(vms_[vm].frozen_until - now_, [=, this] { reach_home(vm, claim, number); });
            return;
        }
        const auto answer = vms_[vm].home.claim(claim, moment(vm));
        post([=, this] { reach_entry(vm, claim, number, answer); });
    }

    void reach_entry(std::size_t home, const once_claim& claim, std::size_t number,
                     const once_answer& answer)
    {
        const vm_state& entry = vms_[claim.attempt.vm.value];
        if (sends[number].answer || entry.run != claim.attempt.run.value)
            return;
        sends[number].answer = answer;
        if (!std::holds_alternative<once_granted>(answer))
            return;
        const auto outcome = static_cast<once_outcome>(below(3));
        const bool runs =
            outcome == once_outcome::ran || (outcome == once_outcome::unknown && below(2) == 0);
        const duration delay = std::chrono::milliseconds(below(500));
        if (runs)
            at(delay, [this, key = claim.key] { runs_[key].push_back(now_); });
        if (chance(faults_.entry_dies)) {
            restart(claim.attempt.vm.value);
            return;
        }
        at(delay, [=, this] { settle(home, claim, outcome); });
        at(delay + 200ms, [=, this] { settle(home, claim, outcome); });
    }

    void settle(std::size_t home, const once_claim& claim, once_outcome outcome)
    {
        const once_settlement it{.key = claim.key,
                                 .fingerprint = claim.fingerprint,
                                 .attempt = claim.attempt,
                                 .epoch = claim.epoch,
                                 .outcome = outcome,
                                 .status = 200};
        post([=, this] { vms_[home].home.settle(it, now_); });
    }

    struct by_text {
        bool operator()(const once_key& a, const once_key& b) const
        {
            return std::tie(a.organisation, a.text) < std::tie(b.organisation, b.text);
        }
    };

    fault_shares faults_;
    std::mt19937_64 random_;
    time_point now_;
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<vm_state> vms_;
    std::size_t holder_ = 0;
    std::uint64_t epoch_ = 0;
    time_point ends_;
    std::map<once_key, std::vector<time_point>, by_text> runs_;
};

double any_share(double most)
{
    return *rc::gen::element(0.0, most / 4, most);
}

} // namespace

RC_GTEST_PROP(once_register, lets_a_key_run_once_within_the_retention, ())
{
    const fault_shares faults{.lost = any_share(0.2),
                              .repeated = any_share(0.3),
                              .late = any_share(0.3),
                              .entry_dies = any_share(0.3),
                              .home_dies = any_share(0.1),
                              .home_freezes = any_share(0.1),
                              .wrong_clocks = *rc::gen::arbitrary<bool>()};
    once_fleet fleet(faults, *rc::gen::arbitrary<std::uint64_t>());
    fleet.run(60s);
    RC_ASSERT(fleet.shortest_between_runs() >= options.retention - dispatch_within);
}

RC_GTEST_PROP(once_register, without_faults_grants_first_and_knows_resends, ())
{
    once_fleet fleet({}, *rc::gen::arbitrary<std::uint64_t>());
    fleet.run(60s);
    for (const auto& it : fleet.sends) {
        if (!it.answer)
            continue; // the end of the trial came first
        RC_ASSERT(!std::holds_alternative<once_refused>(*it.answer));
        RC_ASSERT(!it.is_first || std::holds_alternative<once_granted>(*it.answer));
    }
}

namespace {

constexpr once_moment start{.boot = time_point(1000s), .wall = wall_time(1'700'000'000s)};

once_moment after(duration it)
{
    return {.boot = start.boot + it,
            .wall = start.wall + std::chrono::floor<std::chrono::milliseconds>(it)};
}

once_claim claim_of(std::string_view text, std::uint64_t number, std::uint64_t epoch = 1)
{
    return {.key = key_of(1, text),
            .fingerprint = 7,
            .attempt = {.vm = {1}, .run = {1}, .number = number},
            .epoch = epoch};
}

once_register register_of(std::uint64_t epoch, once_register_options it = options)
{
    once_register out(it);
    out.begin(epoch, start.boot + 1h, start);
    return out;
}

} // namespace

TEST(once_register, refuses_a_used_key_for_another_request)
{
    once_register it = register_of(1);
    it.claim(claim_of("a", 1), start);
    once_claim other = claim_of("a", 2);
    other.fingerprint = 8;
    EXPECT_EQ(it.claim(other, start), once_answer(once_refused{once_refusal::key_reused}));
}

TEST(once_register, forgets_nothing_when_full)
{
    once_register it = register_of(1, {.retention = 20s, .keys = 3, .keys_of_an_organisation = 2});
    it.claim(claim_of("a", 1), start);
    it.claim(claim_of("b", 2), start);
    const once_answer full = once_refused{once_refusal::register_full};
    EXPECT_EQ(it.claim(claim_of("c", 3), start), full);
    EXPECT_EQ(it.claim(claim_of("a", 4), start), once_answer(once_running{}));
    once_claim other = claim_of("a", 5);
    other.key = key_of(2, "a");
    EXPECT_EQ(it.claim(other, start), once_answer(once_granted{1}));
    EXPECT_EQ(it.claim(claim_of("c", 6), after(20s)), once_answer(once_granted{1}));
}

TEST(once_register, claim_taken_back_before_it_came_is_stale)
{
    once_register it = register_of(1);
    const once_claim late = claim_of("a", 1);
    it.settle({.key = late.key,
               .fingerprint = 7,
               .attempt = late.attempt,
               .epoch = 1,
               .outcome = once_outcome::not_run},
              start.boot);
    EXPECT_EQ(it.claim(late, start), once_answer(once_refused{once_refusal::stale}));
    EXPECT_EQ(it.claim(claim_of("a", 2), start), once_answer(once_granted{1}));
}

TEST(once_register, claim_of_a_dead_entry_stays_unknown)
{
    once_register it = register_of(1);
    it.claim(claim_of("a", 1), start);
    it.claimers_gone({1}, {2});
    once_claim again = claim_of("a", 1);
    again.attempt.run = {2};
    EXPECT_EQ(it.claim(again, after(19s)), once_answer(once_unknown{}));
}

TEST(once_register, repeated_claim_of_one_attempt_gets_the_same_answer)
{
    once_register it = register_of(1);
    for (int n = 0; n < 2; ++n)
        EXPECT_EQ(it.claim(claim_of("a", 1), start), once_answer(once_granted{1}));
    EXPECT_EQ(it.claim(claim_of("a", 2), start), once_answer(once_running{}));
}

TEST(once_register, first_settlement_counts)
{
    once_register it = register_of(1);
    it.claim(claim_of("a", 1), start);
    once_settlement end{.key = key_of(1, "a"),
                        .fingerprint = 7,
                        .attempt = claim_of("a", 1).attempt,
                        .epoch = 2,
                        .outcome = once_outcome::not_run};
    EXPECT_FALSE(it.settle(end, start.boot)); // of another mandate
    end.epoch = 1;
    end.outcome = once_outcome::unknown;
    EXPECT_TRUE(it.settle(end, start.boot));
    end.outcome = once_outcome::not_run;
    EXPECT_FALSE(it.settle(end, start.boot));
    EXPECT_EQ(it.claim(claim_of("a", 2), start), once_answer(once_unknown{}));
}

TEST(once_register, grants_only_under_its_mandate)
{
    once_register it(options);
    const once_answer refused = once_refused{once_refusal::not_home};
    EXPECT_EQ(it.claim(claim_of("a", 1, 0), start), refused);
    it.begin(1, start.boot + 1s, start);
    EXPECT_EQ(it.claim(claim_of("a", 1, 2), start), refused);
    EXPECT_EQ(it.claim(claim_of("a", 1), after(1s)), refused);
    it.extend(start.boot + 2s);
    EXPECT_EQ(it.claim(claim_of("a", 1), after(1s)), once_answer(once_granted{1}));
    it.end();
    EXPECT_EQ(it.claim(claim_of("a", 1), after(1s)), refused);
}

TEST(once_register, successor_grants_what_is_proved_younger)
{
    once_register it = register_of(2);
    once_claim claim = claim_of("a", 1, 2);
    EXPECT_EQ(it.claim(claim, start), once_answer(once_refused{once_refusal::home_lost}));
    claim.made = after(5s).wall;
    EXPECT_EQ(it.claim(claim, after(6s)), once_answer(once_refused{once_refusal::home_lost}));
    claim.made = after(6s).wall;
    EXPECT_EQ(it.claim(claim, after(6s)), once_answer(once_granted{2}));
    EXPECT_EQ(it.claim(claim_of("b", 2, 2), after(20s)), once_answer(once_granted{2}));
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

RC_GTEST_PROP(once_codec, reads_what_it_wrote, ())
{
    once_claim claim =
        claim_of(*rc::gen::arbitrary<std::string>(), *rc::gen::arbitrary<std::uint64_t>(),
                 *rc::gen::arbitrary<std::uint64_t>());
    if (*rc::gen::arbitrary<bool>())
        claim.made = start.wall;
    RC_ASSERT(decode_once_request(encode_once(once_request(claim))) == once_request(claim));
    const once_settlement settlement{.key = claim.key,
                                     .attempt = claim.attempt,
                                     .epoch = claim.epoch,
                                     .outcome = once_outcome::ran,
                                     .status = 201};
    const std::string text = encode_once(once_request(settlement));
    RC_ASSERT(decode_once_request(text) == once_request(settlement));
    RC_ASSERT(!decode_once_request(text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size()))));
    for (const once_answer& it :
         {once_answer(once_granted{claim.epoch}), once_answer(once_running{}),
          once_answer(once_done{503}), once_answer(once_unknown{}),
          once_answer(once_refused{once_refusal::stale})})
        RC_ASSERT(decode_once_answer(encode_once(it)) == it);
}

RC_GTEST_PROP(once_codec, bears_any_bytes, (const std::string& text))
{
    decode_once_request(text);
    decode_once_answer(text);
}

TEST(once_codec, refuses_sizes_that_no_memory_holds)
{
    EXPECT_FALSE(decode_once_request("\x9b\xff\xff\xff\xff\xff\xff\xff\xff"));
    EXPECT_FALSE(decode_once_request(std::string(1'000'000, '\x81')));
    EXPECT_FALSE(decode_once_answer(std::string("\x82\x05\x00", 3)));
}
