// Package quota keeps what a client account has running over all pools within its limit,
// without a call to another process on the path of a start.
//
// Each pool has a share of each account's limit. The pool's owner starts tasks within
// that share alone (Allowance); one holder moves shares between pools by their demand
// (Ledger). Both are pure: callers pass times in, make records durable and carry
// messages.
//
// Nothing of an account starts in a pool whose owner has no share of it on record.
//
// Invariant: for each account, the sum over all pools of what any owner of the pool, past
// or present, may have running or may still start is at most the limit, unless the limit
// was lowered below what ran by then; and then nothing starts. A share is lowered by a
// durable record first, which each later owner of the pool reads. What it frees goes to
// another pool only once an owner that was proven to be the newest after that record
// goes by it.
package quota

import "cyclamenwheel/internal/accounts"

// Share is a part of an account's limit, in millionths.
type Share int64

// Whole is all of a limit.
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

// Holds reports whether an amount has at least as much of each resource as another.
func (a Amount) Holds(o Amount) bool {
	return a.CPUMilli >= o.CPUMilli && a.MemoryMB >= o.MemoryMB && a.GPUs >= o.GPUs
}

// Times returns n times the amount.
func (a Amount) Times(n int) Amount { return Amount{n * a.CPUMilli, n * a.MemoryMB, n * a.GPUs} }

// within reports whether an amount is within a share of a limit.
func (a Amount) within(limit accounts.Limit, share Share) bool {
	fits := func(amount, limit int) bool {
		return limit == 0 || int64(amount)*int64(Whole) <= int64(limit)*int64(share)
	}
	return fits(a.CPUMilli, limit.CPUMilli) && fits(a.MemoryMB, limit.MemoryMB) && fits(a.GPUs, limit.GPUs)
}

// shareOf is the least share of a limit that an amount is within.
func (a Amount) shareOf(limit accounts.Limit) Share {
	share := func(amount, limit int) Share {
		if limit == 0 {
			return 0
		}
		return Share((int64(amount)*int64(Whole) + int64(limit) - 1) / int64(limit))
	}
	return max(share(a.CPUMilli, limit.CPUMilli), share(a.MemoryMB, limit.MemoryMB), share(a.GPUs, limit.GPUs))
}

// Waiting is what could start at once in a pool, given a share of its account's limit.
type Waiting struct {
	// Sum is all of it, Least the smallest part that starts by itself.
	Sum, Least Amount
}

// Add adds count starts of an amount each.
func (w *Waiting) Add(each Amount, count int) {
	if w.Sum == (Amount{}) || each.CPUMilli < w.Least.CPUMilli {
		w.Least = each
	}
	w.Sum = w.Sum.Plus(each.Times(count))
}

// Grant is a pool's share of an account's limit, as its holder has recorded it.
type Grant struct {
	Account string `cbor:"1,keyasint"`
	Share   Share  `cbor:"2,keyasint,omitempty"`
	// Limit is the one that the shares count of, whatever the configuration allows beyond
	// it.
	Limit accounts.Limit `cbor:"3,keyasint,omitempty"`
	// Ceiling is the highest limit that owners of other pools may go by. An owner that knows
	// of a lower one starts nothing until all shares were checked for that: another pool may
	// use more of it than its share, and nobody knows what is left.
	Ceiling accounts.Limit `cbor:"5,keyasint,omitempty"`
	// Rev rises with each record of the account's shares.
	Rev int64 `cbor:"4,keyasint,omitempty"`
}

// Report is what a pool's owner says of an account.
type Report struct {
	Account string `cbor:"1,keyasint"`
	// Rev is that of the newest grant it goes by, 0 for none.
	Rev int64 `cbor:"2,keyasint,omitempty"`
	// Used is what runs or may run, Want that and what could start at once.
	Used Amount `cbor:"4,keyasint,omitempty"`
	Want Amount `cbor:"5,keyasint,omitempty"`
	// Least is what runs and the least that could start beside it; Used where nothing
	// waits.
	Least Amount `cbor:"6,keyasint,omitempty"`
}
