package flintlead.day;

import flintlead.snapshot.Disk;

/** A disk that a script can spoil. */
public interface ScriptedDisk extends Disk {

    /** Nothing more fits on it. */
    void full(boolean is);

    /** Each write changes a bit. */
    void rots(boolean does);

    /** The power goes: what was not synced is there or not. */
    void powerLost();
}
