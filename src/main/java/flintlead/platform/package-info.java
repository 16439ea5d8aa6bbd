/**
 * The gateway as a separate process on the operators' platform: its configuration file, signals,
 * logging and startup, and the classes that connect the scheduler to the platform's sockets.
 *
 * <p>{@link flintlead.platform.Main} is the entry point, {@link flintlead.platform.PlatformServer}
 * starts, reloads and stops the server, and {@link flintlead.platform.PlatformGateway} assembles
 * the components of one gateway. Invocations pass from {@link flintlead.platform.downstream}
 * through {@link flintlead.platform.InvocationService} to the scheduler. The scheduler's requests
 * to hosts pass through {@link flintlead.platform.PlatformSchedulerContext} to {@link
 * flintlead.platform.upstream}. All of this runs on one event loop.
 */
package flintlead.platform;
