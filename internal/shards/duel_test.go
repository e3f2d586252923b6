package shards

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/attempts"
	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/standin/wire"
	"cyclamenwheel/internal/tenure"
	"cyclamenwheel/platform"
)

// rival returns a manager that knows its own member only.
func rival(node string, store tenure.Store) *Manager {
	member := MemberName(node, "127.0.0.1:1", "boot", time.UnixMilli(1), 0.4)
	m := NewManager(Options{Node: node, Addr: "127.0.0.1:1", Member: member, Store: store,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), OnPeers: func(map[string]string) {},
		Limits: executor.Limits{Lease: time.Second, ProofAge: time.Second, KeepEnded: time.Minute},
		Fleet:  func(ctx context.Context, _ Duty) { <-ctx.Done() }})
	m.SetPools([]string{"tabs"})
	return m
}

// A pool's callers are sent away again and again, for as long as both nodes live.
// Two nodes start together and read the group while only one of them is in it: each
// finds that the pool is its own, claims it, is fenced by the other's claim, and
// claims it again, as nothing tells it that the other has it.
func TestTwoNodesThatClaimOnePoolSettle(t *testing.T) {
	g := NewWithT(t)
	stand, err := wire.New(map[string]int{"tabs": 1}, 1)
	g.Expect(err).NotTo(HaveOccurred())
	defer stand.Close()
	client := platform.NewClient(stand.Addr(), stand.Addr(), "")
	store := tenure.Store{Journal: client, Attempts: attempts.NewPolicy()}
	ctx, cancel := context.WithCancel(context.Background())
	a, b := rival("n-1", store), rival("n-2", store)
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

func epochOfTopic(g *WithT, client *platform.Client) int64 {
	page, err := client.Newest(context.Background(), TopicOf("tabs"))
	g.Expect(err).NotTo(HaveOccurred())
	epoch, _, err := tenure.NewestClaim(TopicOf("tabs"), page.Records)
	g.Expect(err).NotTo(HaveOccurred())
	return epoch
}
