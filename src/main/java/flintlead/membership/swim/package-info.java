/**
 * Which gateways there are and whether they live: SWIM with suspicion (Das, Gupta, Motivala, 2002)
 * and awareness of the local health (Lifeguard; Dadgar, Phillips, Currey, 2017). {@link
 * flintlead.membership.swim.Swim} handles messages and timers, {@code Prober} detects failures,
 * {@code Membership} keeps the states, {@code MessageSender} disseminates.
 *
 * <p>Pure: no I/O, no clock, no thread; random sources are passed in.
 */
package flintlead.membership.swim;
