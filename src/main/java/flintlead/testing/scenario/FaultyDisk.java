package flintlead.testing.scenario;

import flintlead.discovery.snapshot.DurableStorage;

/** A disk that a fault script can make fail. */
public interface FaultyDisk extends DurableStorage {

  /** While full, writes fail after a part. */
  void setFull(boolean full);

  /** While corrupting, each write changes a bit. */
  void setCorrupting(boolean corrupting);

  /** The machine loses power: of what was not synced, some is lost. */
  void losePower();
}
