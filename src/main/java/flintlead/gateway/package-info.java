/**
 * The library: a gateway that accepts invocations, has the scheduler decide where they go, and
 * carries out its decisions on connections to the hosts. Start at {@link
 * flintlead.gateway.Flintlead}.
 *
 * <p>All classes but {@code Flintlead} are confined to the gateway's event loop. {@code
 * GatewayCore} wires the parts: {@code InvocationService} (acceptance and responses), {@code
 * AttemptDispatcher} (attempts), {@code HostCommands} (load orders, probes), {@code HostDirectory}
 * with {@code HostStates} and {@code HostLinks} (the list of hosts), {@code Housekeeping} (the last
 * guards).
 */
package flintlead.gateway;
