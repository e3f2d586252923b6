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
	for account, s := range l.byAccount {
		if !s.dirty {
			continue
		}
		value, err := cbor.Marshal(s)
		if err != nil {
			return nil, err
		}
		out = append(out, Record{Key: KeyAccount + account, Value: value})
	}
	return out, nil
}

// MarkSaved marks the records that TakeRecords returned last as durable.
func (l *Ledger) MarkSaved(now time.Duration) {
	for _, s := range l.byAccount {
		if s.dirty {
			s.dirty, s.recordedAt = false, now
		}
	}
}

// Restore loads a record of an earlier holder, which may already have sent it to pool
// owners. Records that do not belong to the ledger are ignored.
func (l *Ledger) Restore(r Record, now time.Duration) error {
	if !IsRecord(r.Key) {
		return nil
	}
	s := newAccountShares()
	if err := cbor.Unmarshal(r.Value, s); err != nil {
		return err
	}
	if s.Pools == nil {
		s.Pools = map[string]poolShare{}
	}
	// An owner that was proven newest before this holder's claim may still apply an earlier
	// record.
	s.recordedAt = now
	l.byAccount[r.Key[len(KeyAccount):]] = s
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
