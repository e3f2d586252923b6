// Package quota enforces each client account's limit on running tasks across all pools,
// without a call to another process when a task starts. It divides a limit into one share
// per pool, from the published limits and the usage and demand that pool owners report.
// Pool owners call Allowance to admit starts within their shares, and the single holder of
// the shares calls Ledger to move them between pools by demand.
//
// Both types are free of I/O and clocks: callers pass in the time, persist the records and
// deliver the messages.
//
// No task of an account starts in a pool whose owner has no recorded share of the limit.
//
// Invariant: for each account, the sum over all pools of what any past or present owner of
// the pool may have running or may still start is at most the limit. The exception is a
// limit that was lowered below current usage; then nothing starts until usage is within it.
// A share is first lowered by a durable record, which every later owner of the pool reads.
// The freed part goes to another pool only after an owner that was proven to be the newest
// after that record has confirmed it.
package quota

import "cyclamenwheel/internal/accounts"

// Share is a fraction of an account's limit, in millionths.
type Share int64

// Whole is the entire limit.
const Whole Share = 1_000_000

// Amount is an amount of resources.
type Amount struct {
	CPUMilli int `cbor:"1,keyasint,omitempty" json:"cpu_milli"`
	MemoryMB int `cbor:"2,keyasint,omitempty" json:"memory_mb"`
	GPUs     int `cbor:"3,keyasint,omitempty" json:"gpus"`
}

// Plus returns the sum of two amounts.
func (a Amount) Plus(o Amount) Amount {
	return Amount{a.CPUMilli + o.CPUMilli, a.MemoryMB + o.MemoryMB, a.GPUs + o.GPUs}
}

// Minus returns the difference of two amounts.
func (a Amount) Minus(o Amount) Amount {
	return Amount{a.CPUMilli - o.CPUMilli, a.MemoryMB - o.MemoryMB, a.GPUs - o.GPUs}
}

// Holds reports whether a has at least as much of each resource as o.
func (a Amount) Holds(o Amount) bool {
	return a.CPUMilli >= o.CPUMilli && a.MemoryMB >= o.MemoryMB && a.GPUs >= o.GPUs
}

// Times returns n times the amount.
func (a Amount) Times(n int) Amount { return Amount{n * a.CPUMilli, n * a.MemoryMB, n * a.GPUs} }

// within reports whether an amount is at most the given share of a limit.
func (a Amount) within(limit accounts.Limit, share Share) bool {
	fits := func(amount, limit int) bool {
		return limit == 0 || int64(amount)*int64(Whole) <= int64(limit)*int64(share)
	}
	return fits(a.CPUMilli, limit.CPUMilli) && fits(a.MemoryMB, limit.MemoryMB) && fits(a.GPUs, limit.GPUs)
}

// shareOf returns the smallest share of a limit that covers an amount.
func (a Amount) shareOf(limit accounts.Limit) Share {
	share := func(amount, limit int) Share {
		if limit == 0 {
			return 0
		}
		return Share((int64(amount)*int64(Whole) + int64(limit) - 1) / int64(limit))
	}
	return max(share(a.CPUMilli, limit.CPUMilli), share(a.MemoryMB, limit.MemoryMB), share(a.GPUs, limit.GPUs))
}

// Waiting is the demand of an account's tasks that are ready to start in a pool and wait
// only for a larger share of the limit.
type Waiting struct {
	// Sum is the total; Least is the smallest amount that can start on its own.
	Sum, Least Amount
}

// Add adds count starts that take the given amount each.
func (w *Waiting) Add(each Amount, count int) {
	if w.Sum == (Amount{}) || each.CPUMilli < w.Least.CPUMilli {
		w.Least = each
	}
	w.Sum = w.Sum.Plus(each.Times(count))
}

// Grant is a pool's share of an account's limit, as recorded by the holder of the shares.
type Grant struct {
	Account string `cbor:"1,keyasint"`
	Share   Share  `cbor:"2,keyasint,omitempty"`
	// Limit is the limit that Share is a fraction of, even if the configuration already
	// allows more.
	Limit accounts.Limit `cbor:"3,keyasint,omitempty"`
	// Ceiling is the highest limit that owners of other pools may currently apply. An owner
	// with a lower published limit starts nothing until all shares have been verified
	// against the lower one: another pool may use more of it than its share, so the unused
	// part is unknown.
	Ceiling accounts.Limit `cbor:"5,keyasint,omitempty"`
	// Rev increases with each record of the account's shares.
	Rev int64 `cbor:"4,keyasint,omitempty"`
}

// Report is a pool owner's report on one account.
type Report struct {
	Account string `cbor:"1,keyasint"`
	// Rev is the revision of the newest grant that the owner has applied, 0 for none.
	Rev int64 `cbor:"2,keyasint,omitempty"`
	// Used is what runs or may run; Want adds everything that is ready to start.
	Used Amount `cbor:"4,keyasint,omitempty"`
	Want Amount `cbor:"5,keyasint,omitempty"`
	// Least is Used plus the smallest amount that can start next; it equals Used if nothing
	// waits.
	Least Amount `cbor:"6,keyasint,omitempty"`
}
