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

// lossyStore carries out every write and loses the answers to a share of them.
type lossyStore struct {
	mu      sync.Mutex
	rng     *rand.Rand
	loss    float64
	records []platform.Record
	epoch   int64
	// claims are the announced epochs, in order.
	claims []int64
}

// answerTime is the time that the store takes to answer in a deployment.
const answerTime = 4 * time.Millisecond

func (s *lossyStore) Append(ctx context.Context, topic string, at int64, w platform.Writer, records []platform.Record) (int64, error) {
	offset, err, lost := s.apply(topic, at, w, records)
	if lost {
		<-ctx.Done()
		return 0, &platform.OutcomeUnknownError{Call: "append", Cause: ctx.Err()}
	}
	time.Sleep(answerTime)
	return offset, err
}

func (s *lossyStore) apply(topic string, at int64, w platform.Writer, records []platform.Record) (offset int64, err error, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost = s.rng.Float64() < s.loss
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

func (s *lossyStore) Newest(context.Context, string) (platform.Page, error) {
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

func (s *lossyStore) Read(_ context.Context, _ string, from int64, _ time.Duration) (platform.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return platform.Page{Records: slices.Clone(s.records[from:]), Next: int64(len(s.records))}, nil
}

// fakeClaims are the claims that a claimant has seen, and whether the topic is assigned to it
// after it has observed a newer one.
type fakeClaims struct {
	epoch    int64
	assigned bool
	observed []string
}

func (k *fakeClaims) NewestSeenEpoch() int64 { return k.epoch }

func (k *fakeClaims) ObserveClaim(owner string, epoch int64) bool {
	k.observed = append(k.observed, owner)
	k.epoch = epoch
	return k.assigned
}

// Guards against a pool that changes owners for as long as two nodes run that are both
// assigned to it. A claimant that had not seen the newest claim leaves the topic to its
// owner, unless that owner has gone; one that had seen it takes over.
func TestAClaimantObservesTheNewestClaim(t *testing.T) {
	g := NewWithT(t)
	store := Store{Journal: &lossyStore{rng: rand.New(rand.NewPCG(1, 1))}, Attempts: attempts.NewPolicy()}
	claim := func(owner string, claims Claims) error {
		_, _, err := Claim(context.Background(), store, "t", owner, claims, discardLog)
		return err
	}
	g.Expect(claim("a", &fakeClaims{})).To(Succeed())
	claimant := &fakeClaims{}
	var held *HeldError
	g.Expect(errors.As(claim("b", claimant), &held)).To(BeTrue())
	g.Expect(*held).To(Equal(HeldError{Topic: "t", Owner: "a", Epoch: 1}))
	g.Expect(claim("b", claimant)).To(Succeed(), "it has now seen the claim and takes over")
	g.Expect(claimant.observed).To(Equal([]string{"a", "b"}))
	g.Expect(claim("b", &fakeClaims{})).To(Succeed(), "the claim that it finds is its own")
	g.Expect(claim("c", &fakeClaims{assigned: true})).To(Succeed(), "the holder has gone")
}

// Guards against a pool that has no owner for ten seconds while all nodes are alive. A claim
// is abandoned between its record and its end, because the duty moves. The others find the
// record and leave the pool to the claimant, which leaves it to them. A claimant that may
// have left a record therefore records its own claim.
func TestAnAbandonedClaimIsObservedByItsClaimant(t *testing.T) {
	g := NewWithT(t)
	store := &lossyStore{rng: rand.New(rand.NewPCG(1, 1)), loss: 1}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	claims := &fakeClaims{}
	_, _, err := Claim(ctx, Store{Journal: store, Attempts: attempts.NewPolicy()}, "t", "a", claims, discardLog)
	g.Expect(err).To(HaveOccurred())
	g.Expect(store.records).NotTo(BeEmpty(), "the claim's record is stored")
	g.Expect(claims.observed).To(Equal([]string{"a"}))
	g.Expect(claims.NewestSeenEpoch()).To(Equal(int64(1)))
}

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// claimOnce claims a topic of its own and returns how long that took.
func claimOnce(g *WithT, seed uint64, loss float64) time.Duration {
	store := &lossyStore{rng: rand.New(rand.NewPCG(seed, 1)), loss: loss}
	startedAt := time.Now()
	held, _, err := Claim(context.Background(), Store{Journal: store, Attempts: attempts.NewPolicy()}, "t", "me", &fakeClaims{}, discardLog)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(held.Epoch).To(Equal(int64(1)), "a claim recognises its own record")
	g.Expect(store.claims).To(Equal([]int64{1}))
	return time.Since(startedAt)
}

// Guards against a pool that has no owner for seconds while its owner changes. The store
// carries the claim out and loses the answer; if the claimant started over, it would find its
// own record with a newer epoch than it has seen, and would need two answers in a row for the
// next epoch.
func TestAClaimContinuesFromItsOwnRecord(t *testing.T) {
	for _, loss := range []float64{0, 0.3, 0.5} {
		g := NewWithT(t)
		const claims = 200
		durations := make([]time.Duration, claims)
		var wg sync.WaitGroup
		for i := range durations {
			wg.Go(func() { durations[i] = claimOnce(g, uint64(i), loss) })
		}
		wg.Wait()
		slices.Sort(durations)
		t.Logf("loss %.1f: median %v, 95th percentile %v, max %v", loss, durations[claims/2], durations[claims*95/100], durations[claims-1])
	}
}

// Two nodes claim one topic at once while answers are lost. Each epoch has one winner, and a
// claimant whose claim succeeds has the newest epoch at that time.
func TestTwoClaimantsNeverShareAnEpoch(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(20) {
		store := &lossyStore{rng: rand.New(rand.NewPCG(seed, 2)), loss: 0.5}
		var mu sync.Mutex
		epochs := map[int64]int{}
		var wg sync.WaitGroup
		for _, owner := range []string{"a", "b"} {
			wg.Go(func() {
				held, _, err := Claim(context.Background(), Store{Journal: store, Attempts: attempts.NewPolicy()}, "t", owner, &fakeClaims{assigned: true}, discardLog)
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
