/**
 * A randomized fault soak: real gateway processes, started as the platform starts them, beside
 * clients, hosts and a journal of this package, under faults that overlap in time. A seed gives the
 * schedule; an oracle judges by what clients and hosts recorded, apart from the gateways' own
 * counts.
 */
package flintlead.testing.soak;
