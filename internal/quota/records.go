package quota

import (
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// KeyAccount is the key prefix of account shares among the records of the ledger's holder.
const KeyAccount = "q"

// Record is a persisted record of the ledger.
type Record struct {
	Key   string
	Value []byte
}

// IsRecord reports whether a record with this key belongs to the ledger.
func IsRecord(key string) bool { return strings.HasPrefix(key, KeyAccount) }

// TakeRecords returns a record for each account whose shares have unsaved changes. They stay
// unsaved until Saved is called.
func (l *Ledger) TakeRecords() ([]Record, error) {
	var out []Record
	for account, e := range l.byAccount {
		if !e.dirty {
			continue
		}
		value, err := cbor.Marshal(e)
		if err != nil {
			return nil, err
		}
		out = append(out, Record{Key: KeyAccount + account, Value: value})
	}
	return out, nil
}

// MarkSaved marks the records that TakeRecords returned last as durable.
func (l *Ledger) MarkSaved(now time.Duration) {
	for _, e := range l.byAccount {
		if e.dirty {
			e.dirty, e.recordedAt = false, now
		}
	}
}

// Restore loads a record of an earlier holder, which may already have sent it to pool
// owners. Records that do not belong to the ledger are ignored.
func (l *Ledger) Restore(r Record, now time.Duration) error {
	if !IsRecord(r.Key) {
		return nil
	}
	e := newAccountShares()
	if err := cbor.Unmarshal(r.Value, e); err != nil {
		return err
	}
	if e.Pools == nil {
		e.Pools = map[string]poolShare{}
	}
	// An owner that was proven newest before this holder's claim may still apply an earlier
	// record.
	e.recordedAt = now
	l.byAccount[r.Key[len(KeyAccount):]] = e
	return nil
}

// GrantsOf returns a pool's grants from the records of the ledger.
func GrantsOf(records []Record, pool string) ([]Grant, error) {
	l := NewLedger()
	for _, r := range records {
		if err := l.Restore(r, 0); err != nil {
			return nil, err
		}
	}
	return l.Ask(pool).Grants, nil
}
