#pragma once

#include <fmt/format.h>

#include <chrono>
#include <cstddef>
#include <initializer_list>
#include <malloc.h>
#include <string_view>
#include <utility>

namespace zinniahub::bench
{

/// @brief Prints benchmark results as text or, with `--json`, as one JSON
/// object per line.
class report
{
public:
    using field = std::pair<std::string_view, double>;

    report(int argc, char** argv)
        : json_(argc > 1 && std::string_view(argv[1]) == "--json")
    {
    }

    void section(std::string_view title) const
    {
        if (!json_)
        {
            fmt::print("\n{}\n", title);
        }
    }

    void row(std::string_view name, std::initializer_list<field> fields) const
    {
        if (json_)
        {
            fmt::print("{{\"row\":\"{}\"", name);
        }
        else
        {
            fmt::print("  {:<22}", name);
        }
        for (const auto& [key, value] : fields)
        {
            fmt::print(
                fmt::runtime(json_ ? ",\"{}\":{:.6g}" : "  {}={:.6g}"), key,
                value);
        }
        fmt::print("{}\n", json_ ? "}" : "");
    }

private:
    bool json_;
};

/// @brief Returns the mean duration of a call in microseconds, measured over at
/// least 50 ms.
template<typename Call>
double microseconds_per_call(Call call)
{
    using clock = std::chrono::steady_clock;
    constexpr std::chrono::milliseconds min_duration{50};
    std::size_t calls = 0;
    const auto start = clock::now();
    auto elapsed = clock::duration::zero();
    for (std::size_t batch = 1; elapsed < min_duration; batch *= 2)
    {
        for (std::size_t i = 0; i < batch; ++i)
        {
            call();
        }
        calls += batch;
        elapsed = clock::now() - start;
    }
    return std::chrono::duration<double, std::micro>(elapsed).count() /
           static_cast<double>(calls);
}

/// @brief Prevents the compiler from optimizing a computation away.
template<typename T>
void do_not_optimize(const T& value)
{
    asm volatile("" : : "g"(&value) : "memory");
}

/// @brief Returns the number of bytes allocated on the heap.
inline double heap_bytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

} // namespace zinniahub::bench
