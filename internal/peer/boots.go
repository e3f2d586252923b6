package peer

import (
	"slices"
	"time"
)

// bootTracker determines which boot of each process ID is the current one.
//
// Boot IDs are unordered, and the clocks of two instances can't order them, so
// the order is that of arrival: a boot not seen before is newer, and the boot
// that it replaces is retired. A retired boot, such as a process that was
// frozen while its successor started, is refused while the successor is linked
// and for a grace period afterwards.
//
// The refusal is temporary because the order of arrival can be wrong: the last
// packets of a crashed process may arrive after the first ones of its
// successor. A permanent refusal would cut off the healthy successor until its
// next restart. With a temporary one the crashed process's link times out and
// the successor is admitted.
//
// It is not safe for concurrent use and reads no clock.
type bootTracker struct {
	byID map[string]*bootHistory
}

type bootHistory struct {
	current string
	retired []string
	// links counts the links to the current boot; lastSeen is when the last of
	// them closed, or when the boot was admitted.
	links    int
	lastSeen time.Time
}

func newBootTracker() *bootTracker { return &bootTracker{byID: map[string]*bootHistory{}} }

// admit decides whether to accept the boot named in a hello. replaced reports
// that it retired another boot, whose links the caller must close.
func (b *bootTracker) admit(id, boot string, now time.Time) (replaced bool, err error) {
	h := b.byID[id]
	if h == nil {
		b.byID[id] = &bootHistory{current: boot, lastSeen: now}
		return false, nil
	}
	if h.current == boot {
		h.lastSeen = now
		return false, nil
	}
	if slices.Contains(h.retired, boot) && h.excludesRetired(now) {
		return false, &StaleBootError{ID: id, BootID: boot, Current: h.current}
	}
	h.replace(boot, now)
	return true, nil
}

// excludesRetired reports whether retired boots are still refused.
func (h *bootHistory) excludesRetired(now time.Time) bool {
	return h.links > 0 || now.Sub(h.lastSeen) < retiredBootGrace
}

func (h *bootHistory) replace(boot string, now time.Time) {
	h.retired = slices.DeleteFunc(h.retired, func(s string) bool { return s == boot })
	h.retired = append(h.retired, h.current)
	if len(h.retired) > maxRetiredBoots {
		h.retired = h.retired[len(h.retired)-maxRetiredBoots:]
	}
	h.current, h.links, h.lastSeen = boot, 0, now
}

// isCurrent reports whether messages of the boot are accepted.
func (b *bootTracker) isCurrent(id, boot string) bool {
	h := b.byID[id]
	return h != nil && h.current == boot
}

// addLink counts a new link to the boot if it is the current one.
func (b *bootTracker) addLink(id, boot string) {
	if h := b.byID[id]; h != nil && h.current == boot {
		h.links++
	}
}

// removeLink counts a closed link. Links of a replaced boot are not counted.
func (b *bootTracker) removeLink(id, boot string, now time.Time) {
	if h := b.byID[id]; h != nil && h.current == boot && h.links > 0 {
		h.links--
		h.lastSeen = now
	}
}
