/**
 * One change over many gateways: in waves, compared with the gateways that have not changed yet,
 * and taken back where it does harm. Calls to gateways and their answers come and go as method
 * calls: no input or output, no clock. Each gateway's own transaction is {@code
 * flintlead.configuration.transaction}'s.
 */
package flintlead.configuration.rollout;
