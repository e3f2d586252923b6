package slots

import (
	"math"
	"time"
)

// Meter averages the number of slots that an entry could use, which serves as
// its demand.
//
// It uses the mean and not the peak: requests of a pool arrive at random, and
// an entry that reserves slots for its peaks lends almost nothing while another
// entry refuses callers. Requests above the mean wait briefly in the queue,
// which counts as demand and so raises the next reading.
type Meter struct {
	start, last time.Time
	load        float64
	loadSeconds float64 // integral of load over time since start
	mean        float64 // moving average, mostly of the last second
	hasMean     bool    // false until the first reading
}

// meanWeight is the weight of a reading in the mean. At ten heartbeats per
// second the last second dominates. Over a shorter time, random variation would
// cause loans to be recalled and made again.
const meanWeight = 0.1

// queueClearTime is the time within which a queue should be cleared. If each
// waiting request counted as one slot of demand, an entry would reserve more
// slots than it uses just to have no queue, while another entry refuses
// callers.
const queueClearTime = 500 * time.Millisecond

// Set records the number of requests in flight from now on, and the work
// waiting in the queue as the sum of expected service times.
func (m *Meter) Set(now time.Time, inFlight int, waiting time.Duration) {
	m.advance(now)
	m.load = float64(inFlight) + float64(waiting)/float64(queueClearTime)
}

func (m *Meter) advance(now time.Time) {
	if m.start.IsZero() {
		m.start, m.last = now, now
	}
	if now.After(m.last) {
		m.loadSeconds += m.load * now.Sub(m.last).Seconds()
		m.last = now
	}
}

// Refused adds the work of a request that was refused for lack of slots.
// Otherwise an entry that refuses many requests, and so has a short queue,
// would appear to need few more slots than it has.
func (m *Meter) Refused(service time.Duration) { m.loadSeconds += service.Seconds() }

// Read returns the mean, rounded up. It is called once per heartbeat.
func (m *Meter) Read(now time.Time) int {
	m.advance(now)
	if span := m.last.Sub(m.start).Seconds(); span > 0 {
		weight := meanWeight
		if !m.hasMean {
			weight, m.hasMean = 1, true
		}
		m.mean += weight * (m.loadSeconds/span - m.mean)
		m.start, m.loadSeconds = m.last, 0
	}
	return int(math.Ceil(m.mean))
}
