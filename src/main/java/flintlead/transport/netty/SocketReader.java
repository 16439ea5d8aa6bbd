package flintlead.transport.netty;

import flintlead.transport.fair.ServiceAccount;
import java.util.function.Supplier;

/**
 * What the event loop knows of one socket that it reads in turn with others. On the loop's thread.
 *
 * @param account the processing time that the socket has received
 * @param peer names the peer, for logs
 * @param readable called in each poll that finds the socket readable, before any socket is read
 */
record SocketReader(ServiceAccount account, Supplier<String> peer, Runnable readable) {}
