#pragma once

// <utility> goes first: Boost.Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
