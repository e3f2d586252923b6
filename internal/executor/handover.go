package executor

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// keyHandover names the last record of an owner that gives its pool up in order.
const keyHandover = "h"

// handoverRecord says how long the leases that an owner has given may last. It
// gives none after this record.
//
// Without it a successor that can't hear an endpoint has to wait for as long as a
// predecessor may believe in itself, and a lease more. Load: nodes are restarted
// one after the other, and a pool changes its owner every few seconds; the wait
// begins anew with each, and the tasks of an endpoint that has died stay away for
// as long as the restarts go on.
type handoverRecord struct {
	// Epoch is the owner's; the record counts for its direct successor only.
	Epoch int64 `cbor:"1,keyasint"`
	// LeftMs is how long tasks may still run, by endpoint.
	LeftMs map[string]int64 `cbor:"2,keyasint"`
}

// HandOver returns the record with which an owner gives the pool up. Nothing may
// be sent to endpoints after it was asked for.
func (c *Core) HandOver(now time.Duration) Record {
	r := handoverRecord{Epoch: c.epoch, LeftMs: map[string]int64{}}
	for id, e := range c.endpoints {
		if len(e.tasks) > 0 {
			r.LeftMs[id] = max(0, c.expiryOf(e)-now).Milliseconds()
		}
	}
	return Record{Key: keyHandover, Value: Encode(r)}
}

// restoreHandover takes in the record of an owner that gave the pool up. One of
// an earlier epoch says nothing of the leases that its successor gave.
func (c *Core) restoreHandover(r Record) error {
	var in handoverRecord
	if err := cbor.Unmarshal(r.Value, &in); err != nil {
		return &MalformedRecordError{Key: r.Key, Cause: err}
	}
	if in.Epoch == c.epoch-1 {
		c.handedOver = in.LeftMs
	}
	return nil
}

// unheardExpiry is when the leases on an endpoint that has not answered this
// owner have surely run out.
func (c *Core) unheardExpiry(e *endpoint) time.Duration {
	if left, ok := c.handedOver[e.id]; ok {
		return c.claimedAt + time.Duration(left)*time.Millisecond + expiryMargin
	}
	return c.claimedAt + c.limits.ProofAge + stretched(c.limits.Lease)
}
