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

// pair are two keepers of which the first can ask the second.
func pair(strict bool) (asker, answerer *Keeper, asked *int) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	changed := func(*routing.Config) {}
	asked = new(int)
	answerer = New(Options{Changed: changed, Logger: log})
	asker = New(Options{Changed: changed, Logger: log, Strict: strict, Revoke: 5 * time.Second,
		Peers: func() []string { return []string{"b"} },
		Ask: func(_ context.Context, _ string, have int64) (Answer, error) {
			*asked++
			// As it travels between processes.
			data, err := cbor.Marshal(answerer.answer(Question{Have: have}))
			if err != nil {
				return Answer{}, err
			}
			var out Answer
			return out, cbor.Unmarshal(data, &out)
		}})
	return asker, answerer, asked
}

// A removed key is accepted by a node that the store turns away, for as long as it does.
func TestAConfigurationComesFromAPeerWhileTheStoreIsSilent(t *testing.T) {
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
	g.Expect(asker.Age()).To(BeNumerically("<", time.Second), "the peer's confirmation counts here as well")
}

// A request with an unknown key costs a question each.
func TestAFloodOfUnknownKeysAsksNoMoreThanATimedQuestion(t *testing.T) {
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
	g.Expect(*asked).To(BeZero(), "the store is well: what it says is the newest")
}

// A node that starts while the store is silent ends as it asks a peer that has no
// configuration either.
func TestAPeerWithoutAConfigurationIsNoTrouble(t *testing.T) {
	g := NewWithT(t)
	asker, _, asked := pair(false)
	g.Expect(asker.Newer(context.Background(), 0)).To(BeNil())
	g.Expect(*asked).To(Equal(1))
}

// The duties go by an older configuration than callers' requests, as two came at once.
func TestConfigurationsComeIntoForceInOrder(t *testing.T) {
	g := NewWithT(t)
	var told []int64
	k := New(Options{Changed: func(c *routing.Config) { told = append(told, c.Version) }})
	var wg sync.WaitGroup
	for v := range int64(50) {
		wg.Go(func() { k.Put(&routing.Config{Version: v + 1}) })
	}
	wg.Wait()
	g.Expect(slices.IsSorted(told)).To(BeTrue())
	g.Expect(told[len(told)-1]).To(Equal(k.Config().Version))
}

// A peer that lags behind puts an older configuration in force.
func TestAnOlderConfigurationOfAPeerIsNotTaken(t *testing.T) {
	g := NewWithT(t)
	asker, answerer, _ := pair(false)
	asker.Put(configOf(g, 3, "new"))
	answerer.Put(configOf(g, 2, "old"))
	answerer.Confirm(planlease.Boottime())
	g.Expect(asker.Newer(context.Background(), 3).Version).To(Equal(int64(3)))
	g.Expect(asker.Age()).To(BeNumerically(">", unconfirmed), "it confirms nothing")
}

// A node that has heard nothing for long goes by keys that may have been removed, though
// that is not allowed; or refuses everybody, though it is.
func TestKeysAreTrustedWithoutWordOfTheConfigurationUnlessThatIsStrict(t *testing.T) {
	g := NewWithT(t)
	for _, strict := range []bool{false, true} {
		k, _, _ := pair(strict)
		k.Confirm(planlease.Boottime() - 6*time.Second)
		g.Expect(k.KeysTrusted()).To(Equal(!strict))
		k.Confirm(planlease.Boottime() - 4*time.Second)
		g.Expect(k.KeysTrusted()).To(BeTrue())
	}
}
