package published

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/accounts"
	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/internal/routing"
)

func configOf(g *WithT, version int64, key string) *routing.Config {
	d := accounts.NewDirectory()
	g.Expect(d.Add(accounts.Account{Name: "alpha", Limit: accounts.Limit{CPUMilli: 8}}, accounts.DigestOf(key))).To(Succeed())
	return &routing.Config{Version: version, Accounts: d, Queues: []routing.Queue{{Name: "q", Service: "p", Terms: routing.Terms{Attempts: 2}}},
		Services: map[string]routing.Service{"p": {Name: "p"}}}
}

// pair returns two keepers of which the first can ask the second.
func pair(strict bool) (asker, answerer *Keeper, asked *int) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	changed := func(*routing.Config) {}
	asked = new(int)
	answerer = New(Options{Changed: changed, Logger: log})
	asker = New(Options{Changed: changed, Logger: log, Strict: strict, Revoke: 5 * time.Second,
		Peers: func() []string { return []string{"b"} },
		Ask: func(_ context.Context, _ string, have int64) (Answer, error) {
			*asked++
			// Encode as between processes.
			data, err := cbor.Marshal(answerer.answer(Question{Have: have}))
			if err != nil {
				return Answer{}, err
			}
			var out Answer
			return out, cbor.Unmarshal(data, &out)
		}})
	return asker, answerer, asked
}

// Guards against a node that the store does not answer accepting a removed key.
func TestConfigurationComesFromPeerWhileStoreIsUnreachable(t *testing.T) {
	g := NewWithT(t)
	asker, answerer, _ := pair(false)
	asker.Put(configOf(g, 1, "old"))
	answerer.Put(configOf(g, 2, "new"))
	answerer.Confirm(planlease.Boottime())
	got := asker.Newer(context.Background(), 1)
	g.Expect(got.Version).To(Equal(int64(2)))
	_, known := got.Accounts.Authenticate("old")
	g.Expect(known).To(BeFalse())
	a, known := got.Accounts.Authenticate("new")
	g.Expect(known).To(BeTrue())
	g.Expect(a.Limit.CPUMilli).To(Equal(8))
	g.Expect(got.Queues[0].Terms.Attempts).To(Equal(2))
	g.Expect(asker.Age()).To(BeNumerically("<", time.Second), "the peer's confirmation applies to this node as well")
}

// Guards against one request to a peer for every request with an unknown key.
func TestUnknownKeysAskPeersAtLimitedRate(t *testing.T) {
	g := NewWithT(t)
	asker, answerer, asked := pair(false)
	answerer.Put(configOf(g, 1, "k"))
	asker.Put(configOf(g, 1, "k"))
	for range 1000 {
		asker.Newer(context.Background(), 1)
	}
	g.Expect(*asked).To(BeNumerically("<=", 2))
	asker.Confirm(planlease.Boottime())
	*asked = 0
	asker.Newer(context.Background(), 1)
	g.Expect(*asked).To(BeZero(), "no peer is asked while the store answers")
}

// A node that starts while the store is unreachable must not crash when the peer that it
// asks has no configuration either.
func TestPeerWithoutConfiguration(t *testing.T) {
	g := NewWithT(t)
	asker, _, asked := pair(false)
	g.Expect(asker.Newer(context.Background(), 0)).To(BeNil())
	g.Expect(*asked).To(Equal(1))
}

// Two configurations arrive at once. Changed must not see the older one last, or pool
// owners would use an older configuration than callers' requests.
func TestConfigurationsTakeEffectInOrder(t *testing.T) {
	g := NewWithT(t)
	var versions []int64
	k := New(Options{Changed: func(c *routing.Config) { versions = append(versions, c.Version) }})
	var wg sync.WaitGroup
	for v := range int64(50) {
		wg.Go(func() { k.Put(&routing.Config{Version: v + 1}) })
	}
	wg.Wait()
	g.Expect(slices.IsSorted(versions)).To(BeTrue())
	g.Expect(versions[len(versions)-1]).To(Equal(k.Config().Version))
}

// Guards against a lagging peer putting an older configuration in force.
func TestOlderConfigurationFromPeerIsIgnored(t *testing.T) {
	g := NewWithT(t)
	asker, answerer, _ := pair(false)
	asker.Put(configOf(g, 3, "new"))
	answerer.Put(configOf(g, 2, "old"))
	answerer.Confirm(planlease.Boottime())
	g.Expect(asker.Newer(context.Background(), 3).Version).To(Equal(int64(3)))
	g.Expect(asker.Age()).To(BeNumerically(">", askPeersAfter), "an older version confirms nothing")
}

// A node without confirmation of its configuration for long must reject keys in strict
// mode, as they may have been removed, and accept them otherwise.
func TestStaleConfigurationRevokesKeysOnlyInStrictMode(t *testing.T) {
	g := NewWithT(t)
	for _, strict := range []bool{false, true} {
		k, _, _ := pair(strict)
		k.Confirm(planlease.Boottime() - 6*time.Second)
		g.Expect(k.KeysTrusted()).To(Equal(!strict))
		k.Confirm(planlease.Boottime() - 4*time.Second)
		g.Expect(k.KeysTrusted()).To(BeTrue())
	}
}

// Guards against a node whose read of the store has stalled and that keeps an old configuration
// although a member tells it of a newer one.
func TestAPeersWordOfANewerConfigurationIsFollowed(t *testing.T) {
	g := NewWithT(t)
	asker, answerer, asked := pair(false)
	asker.Put(configOf(g, 1, "old"))
	answerer.Put(configOf(g, 2, "new"))
	answerer.Confirm(planlease.Boottime())
	asker.Confirm(planlease.Boottime())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go asker.Follow(ctx)
	asker.ObserveDigest("b", planlease.Boottime(), answerer.Digest())
	g.Eventually(func() int64 { return asker.Digest().Version }).Should(Equal(int64(2)))
	g.Expect(*asked).To(Equal(1))
}

// A peer's word confirms the configuration only as of the time at which the peer knew it to be the
// newest, and only if it is the one in force here.
func TestAPeersWordConfirmsTheSameConfigurationOnly(t *testing.T) {
	g := NewWithT(t)
	k, _, _ := pair(false)
	k.Put(configOf(g, 2, "k"))
	now := planlease.Boottime()
	k.ObserveDigest("b", now, Digest{Version: 1})
	g.Expect(k.ConfirmedByPeers()).To(BeFalse())
	g.Expect(k.Age()).To(BeNumerically(">", 10*time.Second))
	k.ObserveDigest("b", now, Digest{Version: 2, AgeMs: 700})
	g.Expect(k.ConfirmedByPeers()).To(BeTrue())
	g.Expect(k.Age()).To(BeNumerically("~", 700*time.Millisecond, 200*time.Millisecond))
	stale, _, _ := pair(false)
	stale.Put(configOf(g, 2, "k"))
	stale.ObserveDigest("b", now, Digest{Version: 2, AgeMs: 5000})
	g.Expect(stale.ConfirmedByPeers()).To(BeFalse(), "the peer itself has had no word of the store for long")
}
