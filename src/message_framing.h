#pragma once

// Checks where the head and the body of an HTTP/1.1 message end, byte by byte as it is read. The
// HTTP library skips lines of a head that it can't parse and takes some bodies that break off as
// complete, so its word is no proof that a message is whole. This check is strict instead: what has
// no unambiguous length is malformed.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminebank {

enum class message_kind : std::uint8_t {
    request,
    answer,
    answer_to_head, ///< an answer without a body, whatever its fields say
};

/// Whether an answer to a request of this method has a body, as RFC 9112, section 6.3 defines it.
/// Without one it ends with its head, whatever length its fields name.
bool answer_has_body(std::string_view method, int status);

/// Reads one message. Interim (1xx) answers before an answer are part of it.
class message_framing {
public:
    explicit message_framing(message_kind kind) : kind_(kind) {}

    /// Takes the next bytes. Bytes after the end of the message are ignored. Returns false once the
    /// message is malformed.
    bool read(std::string_view bytes);
    /// The sender closed the connection in order.
    void end_of_input();

    bool is_malformed() const { return state_ == state::malformed; }
    /// Whether the whole message was read.
    bool is_whole() const { return state_ == state::whole; }

private:
    enum class state : std::uint8_t {
        first_line,
        field_line,
        counted_body,
        body_until_close,
        chunk_size,
        chunk_data,
        chunk_end, // the line end after the data of a chunk
        trailer,
        whole,
        malformed,
    };

    void read_line_byte(char c);
    void read_line();
    void read_first_line();
    void read_field(std::string_view name, std::string_view value);
    void end_head();
    void read_chunk_size();

    message_kind kind_;
    state state_ = state::first_line;
    std::string line_;
    int status_ = 0;
    std::optional<std::uint64_t> length_;
    bool is_chunked_ = false;
    std::uint64_t bytes_left_ = 0; // of the body or the chunk
};

} // namespace jasminebank
