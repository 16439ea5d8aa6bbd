package flintlead.scheduling.lease;

/** Whether new work may be sent to a host. */
public enum SendPermission {
  /** The host's lease is valid. */
  GRANTED,
  /** The lease has ended; a probe may renew it. */
  AFTER_PROBE,
  /** The lease has ended, and no probe may be sent to renew it now. */
  REFUSED
}
