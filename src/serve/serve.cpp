#include "serve/serve.hpp"

#include "serve/proxy_server.hpp"

namespace zinniahub::serve
{

int run(const settings::host_settings& values)
{
    proxy_server server(values);
    return server.run();
}

} // namespace zinniahub::serve
