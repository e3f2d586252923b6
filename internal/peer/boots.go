package peer

import (
	"slices"
	"time"
)

// boots tells the present boot of each id from older ones.
//
// Boot ids have no order of their own, and the clocks of two instances can't
// give them one, so the order is that of arrival: a boot never seen before is
// the newer one, and the one it replaces is retired. A retired boot, such as a
// process that was frozen while its successor started, is refused as long as
// the successor is linked and for a grace period after.
//
// The refusal is not for ever because arrival can mislead: the last packets of
// a dead process may come after its successor's first. Refusing the successor
// from then on would cut off a healthy process until its next restart; this
// way the dead one's link times out and the successor gets in.
//
// It is not safe for concurrent use and reads no clock.
type boots struct {
	byID map[string]*bootHistory
}

type bootHistory struct {
	current string
	retired []string
	// links counts the links to the current boot; lastSeen is when the last
	// of them ended, or the boot was admitted.
	links    int
	lastSeen time.Time
}

func newBoots() *boots { return &boots{byID: map[string]*bootHistory{}} }

// admit decides on a hello. replaced is true where it retires another boot,
// whose links are to be closed.
func (b *boots) admit(id, boot string, now time.Time) (replaced bool, err error) {
	h := b.byID[id]
	if h == nil {
		b.byID[id] = &bootHistory{current: boot, lastSeen: now}
		return false, nil
	}
	if h.current == boot {
		h.lastSeen = now
		return false, nil
	}
	if slices.Contains(h.retired, boot) && h.holds(now) {
		return false, &StaleBootError{ID: id, BootID: boot, Current: h.current}
	}
	h.replace(boot, now)
	return true, nil
}

func (h *bootHistory) holds(now time.Time) bool {
	return h.links > 0 || now.Sub(h.lastSeen) < retiredGrace
}

func (h *bootHistory) replace(boot string, now time.Time) {
	h.retired = slices.DeleteFunc(h.retired, func(s string) bool { return s == boot })
	h.retired = append(h.retired, h.current)
	if len(h.retired) > retiredKept {
		h.retired = h.retired[len(h.retired)-retiredKept:]
	}
	h.current, h.links, h.lastSeen = boot, 0, now
}

// isCurrent tells whether messages of that boot are still taken.
func (b *boots) isCurrent(id, boot string) bool {
	h := b.byID[id]
	return h != nil && h.current == boot
}

// attach counts a link.
func (b *boots) attach(id, boot string) {
	if h := b.byID[id]; h != nil && h.current == boot {
		h.links++
	}
}

// detach counts a link's end. Links of a replaced boot no longer count.
func (b *boots) detach(id, boot string, now time.Time) {
	if h := b.byID[id]; h != nil && h.current == boot && h.links > 0 {
		h.links--
		h.lastSeen = now
	}
}
