package shards

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/attempts"
	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/standin/wire"
	"cyclamenwheel/internal/tenure"
	"cyclamenwheel/platform"
)

// managerOf returns a manager that knows its own member only.
func managerOf(node string, store tenure.Store) *Manager {
	member := MemberName(node, "127.0.0.1:1", "boot", time.UnixMilli(1), 0.4)
	m := NewManager(Options{Node: node, Addr: "127.0.0.1:1", Member: member, Store: store,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), OnPeers: func(map[string]string) {},
		Limits: executor.Limits{Lease: time.Second, ProofAge: time.Second, KeepEnded: time.Minute},
		Fleet:  func(ctx context.Context, _ Duty) { <-ctx.Done() }})
	m.SetPools([]string{"tabs"})
	return m
}

// storeOf returns a stand-in's store for as long as the test runs.
func storeOf(t *testing.T, g *WithT) (*platform.Client, tenure.Store) {
	stand, err := wire.New(map[string]int{"tabs": 1}, 1)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(stand.Close)
	client := platform.NewClient(stand.Addr(), stand.Addr(), "")
	return client, tenure.Store{Journal: client, Attempts: attempts.NewPolicy()}
}

// A pool's callers are sent away again and again, for as long as both nodes live.
// Two nodes start together and read the group while only one of them is in it: each
// finds that the pool is its own, claims it, is fenced by the other's claim, and
// claims it again, as nothing tells it that the other has it.
func TestTwoNodesThatClaimOnePoolSettle(t *testing.T) {
	g := NewWithT(t)
	client, store := storeOf(t, g)
	ctx, cancel := context.WithCancel(context.Background())
	a, b := managerOf("n-1", store), managerOf("n-2", store)
	defer func() {
		cancel()
		a.wg.Wait()
		b.wg.Wait()
	}()
	for _, m := range []*Manager{a, b} {
		m.keepRows(map[int]string{0: m.opts.Member})
		m.spreadAgain()
		m.assign(ctx)
		g.Eventually(func() bool { return m.local("tabs") != nil }).Should(BeTrue())
	}
	owners := func() string {
		for _, m := range []*Manager{a, b} {
			m.keepRows(map[int]string{0: a.opts.Member, 1: b.opts.Member})
			m.spreadAgain()
			m.assign(ctx)
		}
		return fmt.Sprint(a.local("tabs") != nil, b.local("tabs") != nil)
	}
	// Each proves its epoch within 1.5 s, and learns that it is fenced.
	g.Eventually(owners, 10*time.Second, 20*time.Millisecond).Should(BeElementOf("true false", "false true"))
	settledAt := epochOfTopic(g, client)
	g.Consistently(func() int64 { owners(); return epochOfTopic(g, client) }, 3*proofEvery, 50*time.Millisecond).
		Should(Equal(settledAt), "nobody claims the pool again")
	g.Expect(settledAt).To(BeNumerically("<=", 3))
}

// Two pools have no owner for eight seconds while every node lives. One node gave its
// claim up half-way; the holder finds the record and, as that node has enough duties,
// leaves the pool to a third, which has heard of neither and leaves it to the holder.
// Whoever finds a claim tells the others of it.
func TestAClaimThatIsFoundIsToldToTheOthers(t *testing.T) {
	g := NewWithT(t)
	client, store := storeOf(t, g)
	finder, silent := managerOf("n-1", store), managerOf("n-2", store)
	finder.keepRows(map[int]string{0: finder.opts.Member, 1: silent.opts.Member})
	_, _, err := tenure.Claim(context.Background(), store, TopicOf("tabs"), silent.opts.Member, Duty{silent, "tabs"}, silent.opts.Logger)
	g.Expect(err).NotTo(HaveOccurred())
	_, _, err = tenure.Claim(context.Background(), store, TopicOf("tabs"), finder.opts.Member, Duty{finder, "tabs"}, finder.opts.Logger)
	var held *tenure.HeldError
	g.Expect(errors.As(err, &held)).To(BeTrue(), "%v", err)
	g.Eventually(func() map[string]holder {
		page, err := client.Newest(context.Background(), topicHolders)
		g.Expect(err).NotTo(HaveOccurred())
		return holdersOf(page.Records)
	}, 10*time.Second).Should(HaveKeyWithValue("tabs", holder{Member: silent.opts.Member, Epoch: 1}))
}

func epochOfTopic(g *WithT, client *platform.Client) int64 {
	page, err := client.Newest(context.Background(), TopicOf("tabs"))
	g.Expect(err).NotTo(HaveOccurred())
	epoch, _, err := tenure.NewestClaim(TopicOf("tabs"), page.Records)
	g.Expect(err).NotTo(HaveOccurred())
	return epoch
}

// muteJournal answers nothing.
type muteJournal struct{}

func (muteJournal) Append(ctx context.Context, _ string, _ int64, _ platform.Writer, _ []platform.Record) (int64, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func (muteJournal) Newest(ctx context.Context, _ string) (platform.Page, error) {
	<-ctx.Done()
	return platform.Page{}, ctx.Err()
}

func (muteJournal) Read(ctx context.Context, _ string, _ int64, _ time.Duration) (platform.Page, error) {
	<-ctx.Done()
	return platform.Page{}, ctx.Err()
}

// A pool's callers wait for another second. Its claim is under way, held up by lost
// answers, as a node that was just restarted joins and ranks first for the pool; given
// up half-way, the claim leaves a record that the other has to learn of first. It goes
// on until another living member is known to have the pool.
func TestAClaimUnderWayGoesOn(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	m := managerOf("n-1", tenure.Store{Journal: muteJournal{}, Attempts: attempts.NewPolicy()})
	defer m.wg.Wait()
	defer cancel()
	other := MemberName("n-2", "127.0.0.1:2", "boot", time.UnixMilli(1), 0.4)
	both := map[int]string{0: m.opts.Member, 1: other}
	underWay := func() bool {
		m.assign(ctx)
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.running["tabs"] != nil
	}
	m.spreadDuties(m.pools, map[int]string{0: m.opts.Member})
	g.Expect(underWay()).To(BeTrue())
	m.spreadDuties(m.pools, both)
	m.owners["tabs"] = Owner{Node: "n-2", Addr: "127.0.0.1:2"}
	g.Expect(underWay()).To(BeTrue(), "nobody else is known to have it")
	m.mergeHolders(map[string]holder{"tabs": {Member: other, Epoch: 1}})
	m.spreadDuties(m.pools, both)
	g.Expect(underWay()).To(BeFalse())
}
