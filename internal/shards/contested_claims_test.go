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

// newTestManager returns a manager whose only known member is itself.
func newTestManager(node string, store tenure.Store) *Manager {
	member := MemberName(node, "127.0.0.1:1", "boot", time.UnixMilli(1), 0.4)
	m := NewManager(Options{Node: node, Addr: "127.0.0.1:1", Member: member, Store: store,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), OnPeers: func(map[string]string) {},
		Limits:        executor.Limits{Lease: time.Second, ProofAge: time.Second, KeepEnded: time.Minute},
		ListEndpoints: func(string) []executor.EndpointInfo { return nil },
		Fleet:         func(ctx context.Context, _ Duty) { <-ctx.Done() }})
	m.SetPools([]string{"tabs"})
	return m
}

// newTestStore returns a stand-in's store that is closed when the test ends.
func newTestStore(t *testing.T, g *WithT) (*platform.Client, tenure.Store) {
	server, err := wire.New(map[string]int{"tabs": 1}, 1)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	client := platform.NewClient(server.Addr(), server.Addr(), "")
	return client, tenure.Store{Journal: client, Attempts: attempts.NewPolicy()}
}

// Guards against two live nodes that displace each other forever, so that the pool's callers
// are rejected again and again. Both nodes read the group while only one of them is in it:
// each finds that it owns the pool, claims it, is fenced by the other's claim, and claims it
// again, because nothing reports the other's claim.
func TestOnePoolClaimedByTwoNodesGetsOneOwner(t *testing.T) {
	g := NewWithT(t)
	client, store := newTestStore(t, g)
	ctx, cancel := context.WithCancel(context.Background())
	a, b := newTestManager("n-1", store), newTestManager("n-2", store)
	defer func() {
		cancel()
		a.wg.Wait()
		b.wg.Wait()
	}()
	for _, m := range []*Manager{a, b} {
		m.storePartitionMembers(map[int]string{0: m.opts.Member})
		m.redistributeDuties()
		m.startAndStopDuties(ctx)
		g.Eventually(func() bool { return m.localRunner("tabs") != nil }).Should(BeTrue())
	}
	owners := func() string {
		for _, m := range []*Manager{a, b} {
			m.storePartitionMembers(map[int]string{0: a.opts.Member, 1: b.opts.Member})
			m.redistributeDuties()
			m.startAndStopDuties(ctx)
		}
		return fmt.Sprint(a.localRunner("tabs") != nil, b.localRunner("tabs") != nil)
	}
	// Each proves its epoch within 1.5 s and finds that it is fenced.
	g.Eventually(owners, 10*time.Second, 20*time.Millisecond).Should(BeElementOf("true false", "false true"))
	settledAt := newestEpoch(g, client)
	g.Consistently(func() int64 { owners(); return newestEpoch(g, client) }, 3*proofInterval, 50*time.Millisecond).
		Should(Equal(settledAt), "no node claims the pool again")
	g.Expect(settledAt).To(BeNumerically("<=", 3))
}

// Guards against pools that have no owner for eight seconds while all nodes are alive. One
// node abandoned its claim half-way. The holder finds the record and, because that node has
// enough duties, leaves the pool to a third node, which has seen neither claim and leaves it
// to the holder. A node that finds a claim therefore publishes it.
func TestAClaimThatIsFoundIsPublished(t *testing.T) {
	g := NewWithT(t)
	client, store := newTestStore(t, g)
	finder, claimant := newTestManager("n-1", store), newTestManager("n-2", store)
	finder.storePartitionMembers(map[int]string{0: finder.opts.Member, 1: claimant.opts.Member})
	_, _, err := tenure.Claim(context.Background(), store, TopicOf("tabs"), claimant.opts.Member, Duty{claimant, "tabs"}, claimant.opts.Logger)
	g.Expect(err).NotTo(HaveOccurred())
	_, _, err = tenure.Claim(context.Background(), store, TopicOf("tabs"), finder.opts.Member, Duty{finder, "tabs"}, finder.opts.Logger)
	var held *tenure.HeldError
	g.Expect(errors.As(err, &held)).To(BeTrue(), "%v", err)
	g.Eventually(func() map[string]holder {
		page, err := client.Newest(context.Background(), holdersTopic)
		g.Expect(err).NotTo(HaveOccurred())
		return parseHolders(page.Records)
	}, 10*time.Second).Should(HaveKeyWithValue("tabs", holder{Member: claimant.opts.Member, Epoch: 1}))
}

func newestEpoch(g *WithT, client *platform.Client) int64 {
	page, err := client.Newest(context.Background(), TopicOf("tabs"))
	g.Expect(err).NotTo(HaveOccurred())
	epoch, _, err := tenure.NewestClaim(TopicOf("tabs"), page.Records)
	g.Expect(err).NotTo(HaveOccurred())
	return epoch
}

// unresponsiveJournal never answers.
type unresponsiveJournal struct{}

func (unresponsiveJournal) Append(ctx context.Context, _ string, _ int64, _ platform.Writer, _ []platform.Record) (int64, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func (unresponsiveJournal) Newest(ctx context.Context, _ string) (platform.Page, error) {
	<-ctx.Done()
	return platform.Page{}, ctx.Err()
}

func (unresponsiveJournal) Read(ctx context.Context, _ string, _ int64, _ time.Duration) (platform.Page, error) {
	<-ctx.Done()
	return platform.Page{}, ctx.Err()
}

// Guards against a pool that has no owner for another second. Its claim is in flight, delayed
// by lost answers, when a restarted node joins and ranks first for the pool. If the claim is
// abandoned half-way, its record stays and the other node has to find it first. The claim
// therefore continues until another live member is known to hold the pool.
func TestAClaimInFlightContinues(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	m := newTestManager("n-1", tenure.Store{Journal: unresponsiveJournal{}, Attempts: attempts.NewPolicy()})
	defer m.wg.Wait()
	defer cancel()
	other := MemberName("n-2", "127.0.0.1:2", "boot", time.UnixMilli(1), 0.4)
	both := map[int]string{0: m.opts.Member, 1: other}
	claimInFlight := func() bool {
		m.startAndStopDuties(ctx)
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.running["tabs"] != nil
	}
	m.distributeDuties(m.pools, map[int]string{0: m.opts.Member})
	g.Expect(claimInFlight()).To(BeTrue())
	m.distributeDuties(m.pools, both)
	m.owners["tabs"] = Owner{Node: "n-2", Addr: "127.0.0.1:2"}
	g.Expect(claimInFlight()).To(BeTrue(), "no other member is known to hold the pool")
	m.mergeHolders(map[string]holder{"tabs": {Member: other, Epoch: 1}})
	m.distributeDuties(m.pools, both)
	g.Expect(claimInFlight()).To(BeFalse())
}
