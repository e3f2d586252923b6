// Package tenure is sole ownership of a topic of the platform's store, under an
// epoch that fences earlier owners.
//
// Contract: records that Claim returns are all that anybody has ever appended
// and nobody of an earlier epoch can append more. Batches are numbered by one
// goroutine and may be on their way side by side: the store takes them in the order
// of their numbers.
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
	// producer names the owner's appends; a topic has one writer.
	producer = "owner"
	// keyEpoch names the record of the newest claim.
	keyEpoch = "e"
)

// Journal is the part of the platform's client that holds records.
type Journal interface {
	Append(ctx context.Context, topic string, at int64, w platform.Writer, records []platform.Record) (int64, error)
	Newest(ctx context.Context, topic string) (platform.Page, error)
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (platform.Page, error)
}

// epochRecord is the record of a claim.
type epochRecord struct {
	Epoch int64  `cbor:"1,keyasint"`
	Owner string `cbor:"2,keyasint"`
	// Claim tells the claims of one owner apart.
	Claim string `cbor:"3,keyasint,omitempty"`
}

// MalformedEpochError says that the record of the newest claim can't be read,
// so that no higher epoch can be chosen.
type MalformedEpochError struct {
	Topic string
	Cause error
}

func (e *MalformedEpochError) Error() string { return e.Topic + ": epoch: " + e.Cause.Error() }

// Unwrap returns the decoder's failure.
func (e *MalformedEpochError) Unwrap() error { return e.Cause }

// Tenure is one owner's time with a topic.
type Tenure struct {
	store Store
	topic string
	log   *slog.Logger
	// Epoch is higher than that of all earlier owners.
	Epoch int64
	// next is the number of the next batch; all below done are stored.
	next int64
	done atomic.Int64
	// proof is when the newest append that succeeded was sent.
	proof atomic.Int64
}

// Store is what a tenure needs of the platform's store: its records, and how long
// to wait for answers.
type Store struct {
	Journal  Journal
	Attempts *attempts.Policy
}

// Put appends records wherever the topic ends, until that is answered. They may be
// written more than once: the newest record of a key counts.
func (s Store) Put(ctx context.Context, topic string, w platform.Writer, records []platform.Record) error {
	_, _, err := attempts.Repeat(ctx, s.Attempts, attempts.ClassifyStoreError, func(ctx context.Context) (int64, error) {
		return s.Journal.Append(ctx, topic, platform.AnyEnd, w, records)
	})
	return err
}

// Claims is what a claimant knows of a topic's claims.
type Claims interface {
	// Known is the epoch of the newest claim that the claimant knows of, 0 for none.
	Known() int64
	// Learn takes in a newer claim, also the claimant's own, and reports whether the
	// topic is the claimant's with it.
	Learn(owner string, epoch int64) bool
}

// HeldError says that a topic was left to another owner, whose claim is newer than
// the claimant knew.
type HeldError struct {
	Topic, Owner string
	Epoch        int64
}

func (e *HeldError) Error() string {
	return fmt.Sprintf("%s: held by %s under epoch %d", e.Topic, e.Owner, e.Epoch)
}

// Claim takes a topic over, unless it finds a claim that it did not know of, by an owner
// whom claims leave the topic to.
//
// Two nodes that know different members both find a topic to be theirs. Each claim
// fences the other's, and without a word on who has it now the loser would claim it
// again: its pool changed hands each second and a half for as long as both lived.
// The newest claim's record names its owner, so that whoever did not know of it
// decides anew before claiming.
//
// A record with the next epoch, appended on the
// condition that the topic ends where it was read to, makes one claimant the
// winner of that epoch: under a producer's name two claimants of one epoch
// would look like one that repeats itself. Announcing the epoch then fences the
// predecessor, and what it appended in between is read last.
//
// Both writes are repeated until they are answered. A claim that starts over at
// each lost answer needs two answered in a row, and takes seconds where half of them
// are lost.
func Claim(ctx context.Context, store Store, topic, owner string, claims Claims, log *slog.Logger) (*Tenure, []platform.Record, error) {
	page, err := store.Journal.Newest(ctx, topic)
	if err != nil {
		return nil, nil, err
	}
	if err := undamaged(topic, page.Records); err != nil {
		return nil, nil, err
	}
	last, holder, err := NewestClaim(topic, page.Records)
	if err != nil {
		return nil, nil, err
	}
	if last > claims.Known() && holder != owner && !claims.Learn(holder, last) {
		return nil, nil, &HeldError{Topic: topic, Owner: holder, Epoch: last}
	}
	t := &Tenure{store: store, topic: topic, log: log, Epoch: last + 1}
	err = t.take(ctx, page.Next, owner)
	if !errors.HasType(err, (*platform.MovedOnError)(nil)) {
		// The record is stored, or may be yet, though this claim is given up: others
		// learn from it that the topic is the claimant's, who has to know it too, or
		// all leave the topic to each other.
		claims.Learn(owner, t.Epoch)
	}
	if err != nil {
		return nil, nil, err
	}
	sent := planlease.Boottime()
	if _, err := t.append(ctx, platform.AnyEnd, t.writer(0), nil); err != nil {
		return nil, nil, err
	}
	t.proof.Store(int64(sent))
	records, err := t.upToFence(ctx, page.Records, page.Next+1)
	return t, records, err
}

// append makes an append that the store recognises when it is repeated.
func (t *Tenure) append(ctx context.Context, at int64, w platform.Writer, records []platform.Record) (tries int, err error) {
	judge := func(err error) attempts.Verdict { return t.judge(w, err) }
	_, tries, err = attempts.Repeat(ctx, t.store.Attempts, judge, func(ctx context.Context) (int64, error) {
		return t.store.Journal.Append(ctx, t.topic, at, w, records)
	})
	return tries, err
}

// judge says what an append's error means. A batch that overtakes an earlier one on
// its way is turned away for its number, and is in turn once that one is stored.
func (t *Tenure) judge(w platform.Writer, err error) attempts.Verdict {
	var turnedAway *platform.NotDoneError
	if errors.As(err, &turnedAway) && turnedAway.Reason == platform.ReasonOutOfOrder && w.Seq > t.done.Load() {
		return attempts.Refused
	}
	return attempts.ClassifyStoreError(err)
}

// take appends the record of the claim at the topic's end. Where an attempt went
// unanswered, a topic that has moved on may have done so by this very record.
func (t *Tenure) take(ctx context.Context, at int64, owner string) error {
	value, err := cbor.Marshal(epochRecord{Epoch: t.Epoch, Owner: owner, Claim: uuid.NewString()})
	if err != nil {
		return &MalformedEpochError{Topic: t.topic, Cause: err}
	}
	tries, err := t.append(ctx, at, platform.Writer{}, []platform.Record{{Key: keyEpoch, Value: value}})
	var movedOn *platform.MovedOnError
	if tries == 1 || !errors.As(err, &movedOn) {
		return err
	}
	page, readErr := t.store.Journal.Read(ctx, t.topic, at, 0)
	if readErr != nil {
		return readErr
	}
	if len(page.Records) > 0 && page.Records[0].Key == keyEpoch && bytes.Equal(page.Records[0].Value, value) {
		t.log.Info("claim found done", "topic", t.topic, "epoch", t.Epoch, "tries", tries)
		return nil
	}
	return err
}

func (t *Tenure) writer(number int64) platform.Writer {
	return platform.Writer{Name: producer, Epoch: t.Epoch, Seq: number}
}

// upToFence adds what was appended between the claim and the fence. Another
// claim among it means that this one was overtaken.
func (t *Tenure) upToFence(ctx context.Context, base []platform.Record, from int64) ([]platform.Record, error) {
	page, err := t.store.Journal.Read(ctx, t.topic, from, 0)
	if err != nil {
		return nil, err
	}
	if err := undamaged(t.topic, page.Records); err != nil {
		return nil, err
	}
	newest := make(map[string][]byte, len(base))
	for _, p := range base {
		newest[p.Key] = p.Value
	}
	for _, p := range page.Records {
		if p.Key == keyEpoch {
			return nil, &platform.FencedError{Topic: t.topic}
		}
		newest[p.Key] = p.Value
	}
	delete(newest, keyEpoch)
	records := make([]platform.Record, 0, len(newest))
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		if len(newest[key]) > 0 {
			records = append(records, platform.Record{Key: key, Value: newest[key]})
		}
	}
	return records, nil
}

// DamagedRecordError says that a record of the topic can't be read. Going on
// without it could run a task twice, so the topic is not taken over.
type DamagedRecordError struct{ Topic, Key string }

func (e *DamagedRecordError) Error() string { return e.Topic + ": record " + e.Key + " is damaged" }

func undamaged(topic string, records []platform.Record) error {
	for _, r := range records {
		if r.Damaged {
			return &DamagedRecordError{Topic: topic, Key: r.Key}
		}
	}
	return nil
}

// NewestClaim returns the epoch of a topic's newest claim, 0 for none, and who made
// it.
func NewestClaim(topic string, page []platform.Record) (epoch int64, owner string, err error) {
	for _, p := range page {
		if p.Key != keyEpoch {
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

// ProofAge is how long ago the store last confirmed that the epoch is the
// newest, on a clock that counts suspension.
func (t *Tenure) ProofAge() time.Duration {
	return planlease.Boottime() - time.Duration(t.proof.Load())
}

// Number gives a batch its place among the others. A batch without records only
// proves the epoch and takes no place.
func (t *Tenure) Number(records []platform.Record) int64 {
	number := t.next
	if len(records) > 0 {
		t.next++
	}
	return number
}

// Append numbers records and adds them; see AppendNumbered.
func (t *Tenure) Append(ctx context.Context, records []platform.Record) error {
	return t.AppendNumbered(ctx, t.Number(records), records)
}

// AppendNumbered adds the records of a batch, repeating until the store has given a
// final answer: the number makes the store recognise what it has carried out
// already. No records at all only prove the epoch. An error means that the tenure
// is over, or that ctx has ended.
func (t *Tenure) AppendNumbered(ctx context.Context, number int64, records []platform.Record) error {
	// The first attempt may be the one that was carried out, so that the epoch is
	// proven for no later moment.
	sent := planlease.Boottime()
	tries, err := t.append(ctx, platform.AnyEnd, t.writer(number), records)
	if tries > 1 {
		t.log.Info("append repeated", "topic", t.topic, "tries", tries, "done", err == nil,
			"duration_ms", (planlease.Boottime() - sent).Milliseconds())
	}
	if err != nil {
		return err
	}
	raise(&t.proof, int64(sent))
	if len(records) > 0 {
		raise(&t.done, number+1)
	}
	return nil
}

// raise sets a value that several batches may raise at once.
func raise(v *atomic.Int64, to int64) {
	for {
		have := v.Load()
		if have >= to || v.CompareAndSwap(have, to) {
			return
		}
	}
}
