// Package tenure gives one owner at a time the sole right to append to a topic of the
// platform's store, under an epoch that fences earlier owners. Whether a claim succeeds, and
// under which epoch, follows from the topic's records and from the claims that the claimant
// has seen (Claims). The packages shards and fleetops call it, to claim pools and the duty
// that manages instances.
//
// Contract: Claim returns all records that were ever appended, and nobody can append more
// under an earlier epoch. One goroutine numbers the batches; several may be in flight at
// once, and the store takes them in the order of their numbers.
package tenure

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"cyclamenwheel/internal/attempts"
	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/platform"
)

const (
	// producerName is the writer's name of the owner's appends; a topic has one writer.
	producerName = "owner"
	// epochKey is the key of the newest claim's record.
	epochKey = "e"
)

// Journal is the part of the platform's client that reads and appends records.
type Journal interface {
	Append(ctx context.Context, topic string, at int64, w platform.Writer, records []platform.Record) (int64, error)
	Newest(ctx context.Context, topic string) (platform.Page, error)
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (platform.Page, error)
}

// epochRecord is the record of a claim.
type epochRecord struct {
	Epoch int64  `cbor:"1,keyasint"`
	Owner string `cbor:"2,keyasint"`
	// Claim distinguishes the claims of one owner.
	Claim string `cbor:"3,keyasint,omitempty"`
}

// MalformedEpochError reports that the record of the newest claim can't be read, so that no
// higher epoch can be chosen.
type MalformedEpochError struct {
	Topic string
	Cause error
}

func (e *MalformedEpochError) Error() string { return e.Topic + ": epoch: " + e.Cause.Error() }

// Unwrap returns the decoding error.
func (e *MalformedEpochError) Unwrap() error { return e.Cause }

// Tenure is one owner's ownership of a topic, from its claim until it is fenced.
type Tenure struct {
	store Store
	topic string
	log   *slog.Logger
	// Epoch is higher than the epochs of all earlier owners.
	Epoch int64
	// nextSeq is the number of the next batch; all batches below storedBelow are stored.
	nextSeq     int64
	storedBelow atomic.Int64
	// provenAt is when the newest append that succeeded was sent.
	provenAt atomic.Int64
}

// Store is the platform's store as a tenure uses it: its records, and the policy for
// repeating calls.
type Store struct {
	Journal  Journal
	Attempts *attempts.Policy
}

// Put appends records at the topic's end and retries until the store answers. Records may be
// written more than once; the newest record of a key counts.
func (s Store) Put(ctx context.Context, topic string, w platform.Writer, records []platform.Record) error {
	_, _, err := attempts.Repeat(ctx, s.Attempts, attempts.ClassifyStoreError, func(ctx context.Context) (int64, error) {
		return s.Journal.Append(ctx, topic, platform.AnyEnd, w, records)
	})
	return err
}

// Claims are the claims of a topic that the claimant has seen.
type Claims interface {
	// NewestSeenEpoch returns the epoch of the newest claim seen, 0 for none.
	NewestSeenEpoch() int64
	// ObserveClaim records a newer claim, which may be the claimant's own, and reports whether the
	// topic is assigned to the claimant, given that claim.
	ObserveClaim(owner string, epoch int64) bool
}

// HeldError reports that a topic was left to another owner, whose claim is newer than those
// that the claimant had seen.
type HeldError struct {
	Topic, Owner string
	Epoch        int64
}

func (e *HeldError) Error() string {
	return fmt.Sprintf("%s: held by %s under epoch %d", e.Topic, e.Owner, e.Epoch)
}

// Claim claims a topic. It returns a HeldError if it finds a claim that the claimant had not
// seen and, given that claim, the topic is not assigned to the claimant.
//
// Two nodes that see different members may both be assigned a topic. Each claim fences the
// other's; if the loser did not find out who owns the topic now, it would claim it again, and
// a pool would change owners every one and a half seconds for as long as both run. The newest
// claim's record therefore names its owner, and a claimant that had not seen that claim
// decides again before it claims.
//
// A record with the next epoch, appended on the condition that the topic has not grown since
// it was read, selects one winner for that epoch: under a producer's name, two claimants of
// one epoch would look like one writer that repeats its append. Announcing the epoch then
// fences the predecessor, and the records that it appended in between are read last.
//
// Both writes are repeated until they are answered. A claim that started over at each lost
// answer would need two answers in a row, which takes seconds if half of them are lost.
func Claim(ctx context.Context, store Store, topic, claimant string, claims Claims, log *slog.Logger) (*Tenure, []platform.Record, error) {
	page, err := store.Journal.Newest(ctx, topic)
	if err != nil {
		return nil, nil, err
	}
	if err := checkUndamaged(topic, page.Records); err != nil {
		return nil, nil, err
	}
	lastEpoch, holder, err := NewestClaim(topic, page.Records)
	if err != nil {
		return nil, nil, err
	}
	if lastEpoch > claims.NewestSeenEpoch() && holder != claimant && !claims.ObserveClaim(holder, lastEpoch) {
		return nil, nil, &HeldError{Topic: topic, Owner: holder, Epoch: lastEpoch}
	}
	t := &Tenure{store: store, topic: topic, log: log, Epoch: lastEpoch + 1}
	err = t.appendClaim(ctx, page.Next, claimant)
	if !errors.HasType(err, (*platform.MovedOnError)(nil)) {
		// The record is stored, or may still be, even if this claim is abandoned. Others that
		// find it leave the topic to the claimant, so the claimant has to record it too;
		// otherwise all of them leave the topic to each other.
		claims.ObserveClaim(claimant, t.Epoch)
	}
	if err != nil {
		return nil, nil, err
	}
	sentAt := planlease.Boottime()
	if _, err := t.append(ctx, platform.AnyEnd, t.writer(0), nil); err != nil {
		return nil, nil, err
	}
	t.provenAt.Store(int64(sentAt))
	records, err := t.recordsAtFence(ctx, page.Records, page.Next+1)
	return t, records, err
}

// append makes an append that the store recognises when it is repeated.
func (t *Tenure) append(ctx context.Context, at int64, w platform.Writer, records []platform.Record) (attemptCount int, err error) {
	classify := func(err error) attempts.Verdict { return t.classify(w, err) }
	_, attemptCount, err = attempts.Repeat(ctx, t.store.Attempts, classify, func(ctx context.Context) (int64, error) {
		return t.store.Journal.Append(ctx, t.topic, at, w, records)
	})
	return attemptCount, err
}

// classify returns what an append's error means. A batch that arrives before an earlier one
// in flight is rejected for its number, and is accepted once the earlier one is stored.
func (t *Tenure) classify(w platform.Writer, err error) attempts.Verdict {
	var notDone *platform.NotDoneError
	if errors.As(err, &notDone) && notDone.Reason == platform.ReasonOutOfOrder && w.Seq > t.storedBelow.Load() {
		return attempts.Refused
	}
	return attempts.ClassifyStoreError(err)
}

// appendClaim appends the claim's record at the topic's end. If an attempt was not answered
// and the topic has grown since, it checks whether it has grown by this record.
func (t *Tenure) appendClaim(ctx context.Context, at int64, owner string) error {
	value, err := cbor.Marshal(epochRecord{Epoch: t.Epoch, Owner: owner, Claim: uuid.NewString()})
	if err != nil {
		return &MalformedEpochError{Topic: t.topic, Cause: err}
	}
	attemptCount, err := t.append(ctx, at, platform.Writer{}, []platform.Record{{Key: epochKey, Value: value}})
	var movedOn *platform.MovedOnError
	if attemptCount == 1 || !errors.As(err, &movedOn) {
		return err
	}
	page, readErr := t.store.Journal.Read(ctx, t.topic, at, 0)
	if readErr != nil {
		return readErr
	}
	if len(page.Records) > 0 && page.Records[0].Key == epochKey && bytes.Equal(page.Records[0].Value, value) {
		t.log.Info("claim found done", "topic", t.topic, "epoch", t.Epoch, "tries", attemptCount)
		return nil
	}
	return err
}

func (t *Tenure) writer(number int64) platform.Writer {
	return platform.Writer{Name: producerName, Epoch: t.Epoch, Seq: number}
}

// recordsAtFence returns base, updated with the records that were appended between the
// claim and the fence. If they include another claim, it returns a FencedError:
// this claim was overtaken.
func (t *Tenure) recordsAtFence(ctx context.Context, base []platform.Record, from int64) ([]platform.Record, error) {
	page, err := t.store.Journal.Read(ctx, t.topic, from, 0)
	if err != nil {
		return nil, err
	}
	if err := checkUndamaged(t.topic, page.Records); err != nil {
		return nil, err
	}
	newest := make(map[string][]byte, len(base))
	for _, p := range base {
		newest[p.Key] = p.Value
	}
	for _, p := range page.Records {
		if p.Key == epochKey {
			return nil, &platform.FencedError{Topic: t.topic}
		}
		newest[p.Key] = p.Value
	}
	delete(newest, epochKey)
	records := make([]platform.Record, 0, len(newest))
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		if len(newest[key]) > 0 {
			records = append(records, platform.Record{Key: key, Value: newest[key]})
		}
	}
	return records, nil
}

// DamagedRecordError reports that a record of the topic can't be read. Without it a task could
// run twice, so the topic is not claimed.
type DamagedRecordError struct{ Topic, Key string }

func (e *DamagedRecordError) Error() string { return e.Topic + ": record " + e.Key + " is damaged" }

func checkUndamaged(topic string, records []platform.Record) error {
	for _, r := range records {
		if r.Damaged {
			return &DamagedRecordError{Topic: topic, Key: r.Key}
		}
	}
	return nil
}

// NewestClaim returns the epoch and the owner of a topic's newest claim; the epoch is 0 if
// there is none.
func NewestClaim(topic string, page []platform.Record) (epoch int64, owner string, err error) {
	for _, p := range page {
		if p.Key != epochKey {
			continue
		}
		var r epochRecord
		if err := cbor.Unmarshal(p.Value, &r); err != nil {
			return 0, "", &MalformedEpochError{Topic: topic, Cause: err}
		}
		return r.Epoch, r.Owner, nil
	}
	return 0, "", nil
}

// ProofAge returns the time since the store last confirmed that the epoch is the newest, on
// a clock that includes suspension.
func (t *Tenure) ProofAge() time.Duration {
	return planlease.Boottime() - time.Duration(t.provenAt.Load())
}

// Numbered is a batch with the sequence numbers of the calls that append it.
type Numbered struct {
	first int64
	calls [][]platform.Record
}

// Number assigns a batch the sequence numbers of its calls. A batch without records only proves the epoch
// and does not use up a number.
func (t *Tenure) Number(records []platform.Record) Numbered {
	b := Numbered{first: t.nextSeq, calls: splitByCalls(records)}
	if len(records) > 0 {
		t.nextSeq += int64(len(b.calls))
	}
	return b
}

// maxCallBytes is the size of the records from which a batch is appended by another call, in bytes: the
// store refuses a call above some 2 MB for good.
const maxCallBytes = 1 << 20

// splitByCalls splits a batch, in order, into the records of each call: one call if it is empty.
func splitByCalls(records []platform.Record) [][]platform.Record {
	var calls [][]platform.Record
	begin, size := 0, 0
	for i, r := range records {
		n := len(r.Key) + len(r.Value)
		if i > begin && size+n > maxCallBytes {
			calls = append(calls, records[begin:i])
			begin, size = i, 0
		}
		size += n
	}
	return append(calls, records[begin:])
}

// Append numbers and appends a batch; see AppendNumbered.
func (t *Tenure) Append(ctx context.Context, records []platform.Record) error {
	return t.AppendNumbered(ctx, t.Number(records))
}

// AppendNumbered appends a batch, and retries until the store has given a final answer: the
// numbers let the store recognise what it has already stored. An empty batch only proves the
// epoch. An error means that the tenure has ended, or that ctx has ended; the beginning of a
// batch that takes several calls may then be stored.
func (t *Tenure) AppendNumbered(ctx context.Context, b Numbered) error {
	for i, call := range b.calls {
		if err := t.appendCall(ctx, b.first+int64(i), call); err != nil {
			return err
		}
	}
	return nil
}

// appendCall appends the records of one call.
func (t *Tenure) appendCall(ctx context.Context, number int64, records []platform.Record) error {
	// The first attempt may be the one that the store carried out, so the epoch is proved for
	// that moment and no later one.
	sentAt := planlease.Boottime()
	attemptCount, err := t.append(ctx, platform.AnyEnd, t.writer(number), records)
	if attemptCount > 1 {
		t.log.Info("append repeated", "topic", t.topic, "tries", attemptCount, "done", err == nil,
			"duration_ms", (planlease.Boottime() - sentAt).Milliseconds())
	}
	if err != nil {
		return err
	}
	storeMax(&t.provenAt, int64(sentAt))
	if len(records) > 0 {
		storeMax(&t.storedBelow, number+1)
	}
	return nil
}

// storeMax raises a value to at least value; several batches may raise it at once.
func storeMax(v *atomic.Int64, value int64) {
	for {
		current := v.Load()
		if current >= value || v.CompareAndSwap(current, value) {
			return
		}
	}
}
