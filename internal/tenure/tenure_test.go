package tenure

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/attempts"
	"cyclamenwheel/platform"
)

// forgetfulStore carries out every write and loses the answers to a share of them.
type forgetfulStore struct {
	mu      sync.Mutex
	rng     *rand.Rand
	lost    float64
	records []platform.Record
	epoch   int64
	// claims are the epochs announced, in order.
	claims []int64
}

// answerTime is what the store takes for an answer, in a deployment.
const answerTime = 4 * time.Millisecond

func (s *forgetfulStore) Append(ctx context.Context, topic string, at int64, w platform.Writer, records []platform.Record) (int64, error) {
	offset, err, lost := s.carryOut(topic, at, w, records)
	if lost {
		<-ctx.Done()
		return 0, &platform.OutcomeUnknownError{Call: "append", Cause: ctx.Err()}
	}
	time.Sleep(answerTime)
	return offset, err
}

func (s *forgetfulStore) carryOut(topic string, at int64, w platform.Writer, records []platform.Record) (offset int64, err error, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost = s.rng.Float64() < s.lost
	end := int64(len(s.records))
	switch {
	case w.Name != "" && w.Epoch < s.epoch:
		return 0, &platform.FencedError{Topic: topic}, lost
	case at != platform.AnyEnd && at != end:
		return 0, &platform.MovedOnError{Topic: topic, End: end}, lost
	}
	if w.Name != "" && w.Epoch > s.epoch {
		s.epoch = w.Epoch
		s.claims = append(s.claims, w.Epoch)
	}
	s.records = append(s.records, records...)
	return end, nil, lost
}

func (s *forgetfulStore) Newest(context.Context, string) (platform.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := platform.Page{Next: int64(len(s.records))}
	newest := map[string]platform.Record{}
	for _, r := range s.records {
		newest[r.Key] = r
	}
	for _, r := range newest {
		page.Records = append(page.Records, r)
	}
	return page, nil
}

func (s *forgetfulStore) Read(_ context.Context, _ string, from int64, _ time.Duration) (platform.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return platform.Page{Records: slices.Clone(s.records[from:]), Next: int64(len(s.records))}, nil
}

// knows is what a claimant knows of other claims, and whether it goes on once it
// has learnt of a newer one.
type knows struct {
	epoch   int64
	mine    bool
	learned []string
}

func (k *knows) Known() int64 { return k.epoch }

func (k *knows) Learn(owner string, epoch int64) bool {
	k.learned = append(k.learned, owner)
	k.epoch = epoch
	return k.mine
}

// A pool changes hands for as long as two nodes that both find it theirs are alive.
// A claimant that did not know of the newest claim leaves the topic to its owner,
// unless that one has gone; one that knew of it takes it over.
func TestAClaimantLearnsOfTheNewestClaim(t *testing.T) {
	g := NewWithT(t)
	store := Store{Journal: &forgetfulStore{rng: rand.New(rand.NewPCG(1, 1))}, Attempts: attempts.NewPolicy()}
	claim := func(owner string, claims Claims) error {
		_, _, err := Claim(context.Background(), store, "t", owner, claims, quiet)
		return err
	}
	g.Expect(claim("a", &knows{})).To(Succeed())
	stranger := &knows{}
	var held *HeldError
	g.Expect(errors.As(claim("b", stranger), &held)).To(BeTrue())
	g.Expect(*held).To(Equal(HeldError{Topic: "t", Owner: "a", Epoch: 1}))
	g.Expect(claim("b", stranger)).To(Succeed(), "it knows of the claim now and takes over")
	g.Expect(stranger.learned).To(Equal([]string{"a", "b"}))
	g.Expect(claim("b", &knows{})).To(Succeed(), "its own claim is nobody else's")
	g.Expect(claim("c", &knows{mine: true})).To(Succeed(), "the holder has gone")
}

// A pool has no owner for ten seconds while every node lives. A claim is given up
// between its record and its end, as the duty moves on; the others find the record and
// leave the pool to the claimant, and that one leaves it to them. Whoever may have
// left a record knows that it claimed.
func TestAClaimThatIsGivenUpIsKnownToTheClaimant(t *testing.T) {
	g := NewWithT(t)
	silent := &forgetfulStore{rng: rand.New(rand.NewPCG(1, 1)), lost: 1}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	claims := &knows{}
	_, _, err := Claim(ctx, Store{Journal: silent, Attempts: attempts.NewPolicy()}, "t", "a", claims, quiet)
	g.Expect(err).To(HaveOccurred())
	g.Expect(silent.records).NotTo(BeEmpty(), "the claim's record is there")
	g.Expect(claims.learned).To(Equal([]string{"a"}))
	g.Expect(claims.Known()).To(Equal(int64(1)))
}

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// claimOnce claims a topic of its own and returns how long that took.
func claimOnce(g *WithT, seed uint64, lost float64) time.Duration {
	store := &forgetfulStore{rng: rand.New(rand.NewPCG(seed, 1)), lost: lost}
	began := time.Now()
	held, _, err := Claim(context.Background(), Store{Journal: store, Attempts: attempts.NewPolicy()}, "t", "me", &knows{}, quiet)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(held.Epoch).To(Equal(int64(1)), "a claim recognises its own record")
	g.Expect(store.claims).To(Equal([]int64{1}))
	return time.Since(began)
}

// Nobody serves a pool for seconds while its owner changes. The store carries the
// claim out and loses the answer; the claimant starts over, finds a record of a
// newer epoch than it knows, its own, and needs two answers in a row for the next.
func TestAClaimGoesOnFromItsOwnRecord(t *testing.T) {
	for _, lost := range []float64{0, 0.3, 0.5} {
		g := NewWithT(t)
		const claims = 200
		took := make([]time.Duration, claims)
		var wg sync.WaitGroup
		for i := range took {
			wg.Go(func() { took[i] = claimOnce(g, uint64(i), lost) })
		}
		wg.Wait()
		slices.Sort(took)
		t.Logf("lost %.1f: median %v, 95th percentile %v, most %v", lost, took[claims/2], took[claims*95/100], took[claims-1])
	}
}

// Two nodes claim one topic at once while answers are lost. One of them wins each
// epoch, and whoever is told that it has the topic has the newest epoch of its time.
func TestTwoClaimantsNeverShareAnEpoch(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(20) {
		store := &forgetfulStore{rng: rand.New(rand.NewPCG(seed, 2)), lost: 0.5}
		var mu sync.Mutex
		epochs := map[int64]int{}
		var wg sync.WaitGroup
		for _, owner := range []string{"a", "b"} {
			wg.Go(func() {
				held, _, err := Claim(context.Background(), Store{Journal: store, Attempts: attempts.NewPolicy()}, "t", owner, &knows{mine: true}, quiet)
				if err == nil {
					mu.Lock()
					defer mu.Unlock()
					epochs[held.Epoch]++
				}
			})
		}
		wg.Wait()
		for epoch, holders := range epochs {
			g.Expect(holders).To(Equal(1), "epoch %d, seed %d", epoch, seed)
		}
	}
}
