package shards

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/certs"
	"cyclamenwheel/internal/inflight"
	"cyclamenwheel/internal/peer"
)

// startPeers starts linked peers with the given ids.
func startPeers(t *testing.T, g *WithT, ids ...string) []*peer.Node {
	_, certPEM, keyPEM, err := certs.NewAuthority("test")
	g.Expect(err).NotTo(HaveOccurred())
	ca, err := certs.ParseAuthority(certPEM, keyPEM)
	g.Expect(err).NotTo(HaveOccurred())
	addrs, nodes := map[string]string{}, []*peer.Node{}
	for _, id := range ids {
		creds, err := ca.Issue("test", certs.RoleEntry, id)
		g.Expect(err).NotTo(HaveOccurred())
		n, err := peer.NewNode(peer.Options{Self: peer.Identity{ID: id, Role: "entry", BootID: "1", Zone: "z"}, Deployment: "test",
			TLS: creds.Config(certs.RoleEntry), Listen: "127.0.0.1:0", Logger: slog.New(slog.DiscardHandler)})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n.Start()).To(Succeed())
		t.Cleanup(func() { g.Expect(n.Close()).To(Succeed()) })
		addrs[id], nodes = n.LocalAddr().String(), append(nodes, n)
	}
	for _, n := range nodes {
		g.Expect(n.SetPeers(addrs)).To(Succeed())
	}
	return nodes
}

// Guards against a node that holds a call for each of its callers while its owner answers none, that
// refuses for ever once the owner answers again, or that bounds other calls or does so without
// overload control.
func TestSubmissionsToAnOwnerThatDoesNotAnswerAreRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	nodes := startPeers(t, g, "n-1", "n-2")
	var answers atomic.Bool
	handler := func(ctx context.Context, _ peer.Identity, _ SubmitCall) (Result, error) {
		if !answers.Load() {
			<-ctx.Done()
			time.Sleep(100 * time.Millisecond) // an answer after its caller has given up
		}
		return done, nil
	}
	peer.Handle(nodes[1], kindSubmit, handler)
	manager := NewManager(Options{Node: "n-1", Logger: slog.New(slog.DiscardHandler)})
	manager.owners["pool"] = Owner{Node: "n-2"}
	calls := &Calls{Manager: manager, Peers: nodes[0], OverloadControl: true}
	submit := func(c *Calls) Result {
		return c.attempt(context.Background(), "pool", kindSubmit, nil, SubmitCall{Pool: "pool"})
	}
	inFlight := func() int {
		calls.limits.mu.Lock()
		defer calls.limits.mu.Unlock()
		return calls.limits.byNode["n-2"].limiter.InFlight()
	}

	ended := make(chan struct{})
	var callers sync.WaitGroup
	var accepted, refused atomic.Int64
	callers.Go(func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(5 * time.Millisecond):
			}
			callers.Go(func() {
				switch submit(calls) {
				case done:
					accepted.Add(1)
				case resultOwnerBusy:
					refused.Add(1)
				}
			})
		}
	})
	g.Eventually(refused.Load, 20*time.Second).Should(BeNumerically(">", 0))
	g.Eventually(inFlight, 20*time.Second, 10*time.Millisecond).Should(BeNumerically("<=", inflight.MinLimit))
	g.Consistently(inFlight, time.Second, 5*time.Millisecond).Should(BeNumerically("<=", inflight.MinLimit))
	g.Expect(accepted.Load()).To(BeZero())

	unbounded := &Calls{Manager: manager, Peers: nodes[0]}
	g.Expect(submit(unbounded).Outcome).To(Equal(OutcomeUnknown), "without overload control it is sent")
	answers.Store(true)
	g.Eventually(func() bool { // 20 callers in a row are served
		for range 20 {
			if submit(calls) != done {
				return false
			}
		}
		return true
	}, 20*time.Second).Should(BeTrue())
	close(ended)
	callers.Wait()
}
