// Package coordination plays real processes of pinelb on loopback addresses while callers use every call of the coordination service, and
// machines are killed, frozen, restarted and lose their disks. Package history judges what the callers saw.
//
// A seed draws a play's script: the fleet, and faults in series that overlap. The calls themselves depend on the answers and on the machine, so
// that a seed repeats the script and not the history.
//
// Invariant: as many core machines are down, or have lost their disks and not caught up, as are tolerated at most; only a blackout kills more, and
// takes two disks at most. A machine that is too busy delays faults or has them passed over; it breaks no rule.
package coordination
