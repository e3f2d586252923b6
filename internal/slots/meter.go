package slots

import (
	"math"
	"time"
)

// Meter averages a count over time, for use as an entry's demand.
//
// The mean and not the peak: a pool's requests come at random, and an entry
// that keeps slots for its peaks lends next to nothing while another refuses
// callers. What comes above the mean waits a moment in the queue, which counts
// and so raises the next reading.
type Meter struct {
	start, last time.Time
	count       float64
	area        float64 // count times seconds since start
	mean        float64 // over about the last second
	known       bool    // mean has had a first reading
}

// readWeight is the weight of a reading in the mean. At ten heartbeats a
// second the last second counts most: shorter, and loans are recalled and made
// again with every chance variation.
const readWeight = 0.1

// clearTime is within what time a queue should be cleared. Counting each
// waiting request as a slot wanted would have an entry keep more slots than it
// uses only to have no queue, while another one refuses callers.
const clearTime = 500 * time.Millisecond

// Set tells what is in flight from now on, and how much work waits, as the sum
// of expected service times.
func (m *Meter) Set(now time.Time, inFlight int, waiting time.Duration) {
	m.advance(now)
	m.count = float64(inFlight) + float64(waiting)/float64(clearTime)
}

func (m *Meter) advance(now time.Time) {
	if m.start.IsZero() {
		m.start, m.last = now, now
	}
	if now.After(m.last) {
		m.area += m.count * now.Sub(m.last).Seconds()
		m.last = now
	}
}

// Refused adds the work of a request that was refused for lack of slots. An
// entry that refuses much has a short queue, and would otherwise seem to want
// little more than it has.
func (m *Meter) Refused(service time.Duration) { m.area += service.Seconds() }

// Read returns the mean, rounded up. It is called once for each heartbeat.
func (m *Meter) Read(now time.Time) int {
	m.advance(now)
	if span := m.last.Sub(m.start).Seconds(); span > 0 {
		weight := readWeight
		if !m.known {
			weight, m.known = 1, true
		}
		m.mean += weight * (m.area/span - m.mean)
		m.start, m.area = m.last, 0
	}
	return int(math.Ceil(m.mean))
}
