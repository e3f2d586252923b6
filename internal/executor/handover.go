package executor

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// keyHandover is the key of the last record of an owner that hands over its pool as it shuts down.
const keyHandover = "h"

// handoverRecord has how much longer the leases that an owner granted may last. The owner grants
// none after this record.
//
// Without it, a successor that can't reach an endpoint has to wait until its predecessor's proof of
// ownership has expired, and for one more lease. Load: nodes are restarted one after the other, and
// a pool changes owner every few seconds. Each new owner would start that wait anew, and the tasks of
// a crashed endpoint would not be restarted until the last node is back.
type handoverRecord struct {
	// Epoch is the owner's epoch; only its direct successor uses the record.
	Epoch int64 `cbor:"1,keyasint"`
	// LeftMs is how much longer tasks may run, by endpoint.
	LeftMs map[string]int64 `cbor:"2,keyasint"`
}

// HandOver returns the record with which an owner hands over the pool. The caller sends nothing to
// endpoints any more once it has called HandOver.
func (c *Core) HandOver(now time.Duration) Record {
	r := handoverRecord{Epoch: c.epoch, LeftMs: map[string]int64{}}
	for id, e := range c.endpoints {
		if len(e.tasks) > 0 {
			r.LeftMs[id] = max(0, c.leaseExpiry(e)-now).Milliseconds()
		}
	}
	return Record{Key: keyHandover, Value: Encode(r)}
}

// restoreHandover restores the record of an owner that handed over the pool. One of an earlier epoch
// does not cover the leases that its successor granted.
func (c *Core) restoreHandover(r Record) error {
	var in handoverRecord
	if err := cbor.Unmarshal(r.Value, &in); err != nil {
		return &MalformedRecordError{Key: r.Key, Cause: err}
	}
	if in.Epoch == c.epoch-1 {
		c.predecessorLeasesMs = in.LeftMs
	}
	return nil
}

// predecessorExpiry is when the leases on an endpoint that has not answered this owner have certainly
// expired.
func (c *Core) predecessorExpiry(e *endpoint) time.Duration {
	if left, ok := c.predecessorLeasesMs[e.id]; ok {
		return c.claimedAt + time.Duration(left)*time.Millisecond + expiryMargin
	}
	return c.claimedAt + c.limits.ProofAge + maxElapsed(c.limits.Lease)
}
