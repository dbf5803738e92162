#pragma once

#include "Forwarding/StepwiseString.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace almondscale {

// Beast body of a received request. Its capacity grows by a quarter as bytes arrive, whereas
// boost::beast::http::string_body allocates the announced length at once and otherwise doubles.
struct StepwiseBody {
    using value_type = std::string;

    class reader {
    public:
        template <bool IsRequest, class Fields>
        reader(boost::beast::http::header<IsRequest, Fields>& /*head*/, value_type& body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t>& length, boost::system::error_code& error)
        {
            error = {};
            if (length)
                m_length = static_cast<std::size_t>(*length);
        }

        template <class Buffers> std::size_t put(const Buffers& buffers, boost::system::error_code& error)
        {
            error = {};
            const auto more = boost::asio::buffer_size(buffers);
            if (m_length)
                growStepwise(m_body, m_body.size() + more, *m_length);
            else
                growStepwise(m_body, m_body.size() + more);
            for (auto part = boost::asio::buffer_sequence_begin(buffers);
                 part != boost::asio::buffer_sequence_end(buffers); ++part) {
                const boost::asio::const_buffer bytes(*part);
                m_body.append(static_cast<const char*>(bytes.data()), bytes.size());
            }
            return more;
        }

        void finish(boost::system::error_code& error) { error = {}; }

    private:
        value_type& m_body;
        std::optional<std::size_t> m_length;
    };
};

} // namespace almondscale
