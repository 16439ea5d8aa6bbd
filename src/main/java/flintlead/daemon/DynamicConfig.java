package flintlead.daemon;

import flintlead.gateway.upstream.HostSpec;
import flintlead.routing.pool.Layout;
import java.util.List;

/** The part of a configuration that can be changed while the gateway runs. */
record DynamicConfig(List<HostSpec> hosts, Layout layout) {}
