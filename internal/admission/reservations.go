package admission

import "time"

const (
	// reservationSlot is the resolution of reservations in time.
	reservationSlot = returnEarly
	// slotsPerSecond is the number of slots in a second.
	slotsPerSecond = int64(time.Second / reservationSlot)
	// reservationSlots covers the times for which reservations are kept, from returnLate before now to
	// maxReturnDelay after it, and the windows of a second around them.
	reservationSlots = int64((returnLate+maxReturnDelay)/reservationSlot) + slotsPerSecond
)

// returningClass holds the reservations of one class in slots of time.
type returningClass struct {
	usedAt time.Duration
	// rate is the work done in a second; 0 if unknown.
	rate  float64
	slots [reservationSlots]reservedSlot
}

// reservedSlot is the work reserved in one slot of time.
type reservedSlot struct {
	number int64
	jobs   int
	work   float64
}

func slotNumber(at time.Duration) int64 { return max(0, int64(at/reservationSlot)) }

func (c *returningClass) reserve(due time.Duration, work float64) {
	n := slotNumber(due)
	s := &c.slots[n%reservationSlots]
	if s.number != n {
		*s = reservedSlot{number: n}
	}
	s.jobs++
	s.work += work
}

func (c *returningClass) release(due time.Duration, work float64) {
	n := slotNumber(due)
	s := &c.slots[n%reservationSlots]
	if s.number != n {
		return
	}
	s.jobs--
	s.work -= work
	if s.jobs == 0 {
		s.work = 0 // without rounding errors
	}
}

// reserved returns the work reserved from the slot of one time to the slot of another.
func (c *returningClass) reserved(from, until time.Duration) float64 {
	return c.inSlots(slotNumber(from), slotNumber(until))
}

func (c *returningClass) inSlots(first, last int64) float64 {
	sum := 0.0
	for i := range c.slots {
		if s := &c.slots[i]; s.jobs > 0 && s.number >= first && s.number <= last {
			sum += s.work
		}
	}
	return sum
}

// delay returns a delay of at least earliest for a job that comes back before giveUp, and whether it
// does so.
func (c *returningClass) delay(now, earliest, giveUp time.Duration, work float64) (time.Duration, bool) {
	best, least := earliest, 0.0
	found := false
	for d := earliest; d <= maxReturnDelay && now+d < giveUp; d += time.Second {
		load := c.busiestSecond(now + d)
		if c.rate <= 0 || load+work <= c.rate {
			return d, true
		}
		if !found || load < least {
			best, least, found = d, load, true
		}
	}
	return best, found
}

// busiestSecond returns the most work that is reserved in any second that contains a time.
func (c *returningClass) busiestSecond(at time.Duration) float64 {
	most, slot := 0.0, slotNumber(at)
	for first := slot - slotsPerSecond + 1; first <= slot; first++ {
		most = max(most, c.inSlots(first, first+slotsPerSecond-1))
	}
	return most
}
