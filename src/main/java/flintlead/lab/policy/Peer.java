package flintlead.lab.policy;

import flintlead.port.HostEntry;

/** A host as a gateway with a simple policy knows it. */
final class Peer {

    final long number;
    HostEntry entry;
    /** Own dispatches in flight. */
    int out;

    Peer(HostEntry entry) {
        this.number = entry.host();
        this.entry = entry;
    }
}
