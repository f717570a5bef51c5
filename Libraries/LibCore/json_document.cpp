// Parses JSON into memory that is counted.

#include <LibCore/json_document.hpp>

#include <LibCore/text.hpp>

#include <boost/json/memory_resource.hpp>
#include <boost/json/parser.hpp>
#include <boost/json/storage_ptr.hpp>

#include <new>
#include <utility>

namespace hyssoploft::core {

namespace json = boost::json;

namespace {

/// The heap, up to a number of bytes.
class bounded_resource final : public json::memory_resource
{
public:
    explicit bounded_resource(std::size_t limit) : limit_(limit) {}

private:
    // What the heap takes for a block.
    static constexpr std::size_t block_size(std::size_t n)
    {
        constexpr std::size_t header = 8;
        constexpr std::size_t unit = 16;
        return (n + header + unit - 1) / unit * unit;
    }

    // NOTE: The library gives a block back with another alignment than it asked
    // for; none is above the default one.
    void* do_allocate(std::size_t n, std::size_t /*align*/) override
    {
        if (block_size(n) > limit_ - used_)
        {
            throw std::bad_alloc();
        }
        auto* out = ::operator new(n);
        used_ += block_size(n);
        return out;
    }

    void do_deallocate(void* at, std::size_t n, std::size_t /*align*/) override
    {
        ::operator delete(at);
        used_ -= block_size(n);
    }

    bool do_is_equal(const json::memory_resource& other) const noexcept override
    {
        return this == &other;
    }

    const std::size_t limit_;
    std::size_t used_ = 0; // Never above limit_.
};

} // namespace

absl::StatusOr<json::value>
parse_json_object(std::string_view text, std::size_t max_bytes)
{
    // Shared by the values, which may outlive this function.
    const auto memory = json::make_shared_resource<bounded_resource>(max_bytes);
    try
    {
        json::parser parser(memory);
        parser.reset(memory);
        json::error_code ec;
        parser.write(text.data(), text.size(), ec);
        if (ec)
        {
            return absl::InvalidArgumentError(
                concat("not JSON: ", ec.message()));
        }
        auto out = parser.release();
        if (!out.is_object())
        {
            return absl::InvalidArgumentError("must be an object");
        }
        return out;
    }
    catch (const std::bad_alloc&)
    {
        return absl::InvalidArgumentError(
            concat("takes more than ", max_bytes, " bytes when parsed"));
    }
}

} // namespace hyssoploft::core
