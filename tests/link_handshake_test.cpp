#include "link_handshake.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace jasminebank;

namespace {

const link_identity a{.vm_name = "a", .run = {1}};
const link_identity b{.vm_name = "b", .run = {2}};

} // namespace

TEST(link_handshake, same_key_proves_both_ends)
{
    link_handshake connecting(link_end::connecting, a, "key");
    link_handshake accepting(link_end::accepting, b, "key");
    const auto answer = accepting.answer(connecting.introduce());
    ASSERT_TRUE(answer);
    const auto proof = connecting.prove(*answer);
    ASSERT_TRUE(proof);
    EXPECT_TRUE(accepting.accepts(*proof));
    EXPECT_EQ(connecting.peer(), b);
    EXPECT_EQ(accepting.peer(), a);
}

TEST(link_handshake, proofs_of_another_key_are_rejected)
{
    link_handshake connecting(link_end::connecting, a, "key");
    link_handshake accepting(link_end::accepting, b, "other key");
    const auto answer = accepting.answer(connecting.introduce());
    ASSERT_TRUE(answer);
    EXPECT_FALSE(connecting.prove(*answer));
    EXPECT_FALSE(accepting.accepts(std::string(proof_bytes, '0')));
}

// The accepting end must reject its own proof (reflection) and a proof made for another handshake
// (replay).
TEST(link_handshake, proof_is_neither_reflected_nor_replayed)
{
    link_handshake connecting(link_end::connecting, a, "key");
    link_handshake first(link_end::accepting, b, "key");
    const message_head introduction = connecting.introduce();
    const auto answer = first.answer(introduction);
    ASSERT_TRUE(answer);
    EXPECT_FALSE(first.accepts(*find_field(*answer, "proof")));
    const auto proof = connecting.prove(*answer);
    ASSERT_TRUE(proof);
    link_handshake second(link_end::accepting, b, "key");
    ASSERT_TRUE(second.answer(introduction));
    EXPECT_FALSE(second.accepts(*proof));
}

// If any character of any field of the response is changed in transit, the connecting end must not
// send its proof.
RC_GTEST_PROP(link_handshake, changed_answer_is_rejected, ())
{
    link_handshake connecting(link_end::connecting, a, "key");
    link_handshake accepting(link_end::accepting, b, "key");
    auto answer = accepting.answer(connecting.introduce());
    header_field& it = answer->fields[*rc::gen::inRange<std::size_t>(0, answer->fields.size())];
    const std::size_t place = *rc::gen::inRange<std::size_t>(0, it.value.size());
    const char changed = *rc::gen::distinctFrom(rc::gen::elementOf(std::string("0123456789abcdef")),
                                                it.value[place]);
    it.value[place] = changed;
    RC_ASSERT(!connecting.prove(*answer));
}

TEST(link_handshake, malformed_introductions_are_refused)
{
    const std::string nonce(64, '1');
    const std::vector<std::vector<header_field>> heads{
        {},
        {{"vm", "a"}, {"incarnation", "1"}},
        {{"vm", "a"}, {"incarnation", "x"}, {"nonce", nonce}},
        {{"vm", "a"}, {"incarnation", "1"}, {"nonce", "1"}},
        {{"vm", std::string(256, 'a')}, {"incarnation", "1"}, {"nonce", nonce}},
    };
    for (const auto& fields : heads) {
        link_handshake it(link_end::accepting, b, "key");
        EXPECT_FALSE(it.answer({.method = "POST", .path = "/", .fields = fields}));
    }
}
