/**
 * Time on a gateway's own clock: moments, durations in microseconds, and rate limiting by token
 * bucket.
 */
package flintlead.time;
