package flintlead.testing.emulator;

import flintlead.transport.jsonrpc.MessageId;

/**
 * A load order that is answered once the instances are loaded.
 *
 * @param id of the request
 * @param copies how many instances were ordered
 */
record PendingLoadOrder(EmulatedHostConnection connection, MessageId id, int copies) {}
