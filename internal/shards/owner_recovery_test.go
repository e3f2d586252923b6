package shards

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/attempts"
	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/published"
	"cyclamenwheel/internal/standin/wire"
	"cyclamenwheel/internal/tenure"
	"cyclamenwheel/platform"
)

// cluster is a set of managers on one store that reach each other directly.
type cluster struct {
	client    *platform.Client
	mu        sync.Mutex
	processes map[string]*process
}

type process struct {
	m    *Manager
	stop context.CancelFunc
	done chan struct{}
}

func (c *cluster) manager(node string) *Manager {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.processes[node]; r != nil {
		return r.m
	}
	return nil
}

// unreachableError reports that a node is not running.
type unreachableError struct{}

func (unreachableError) Error() string { return "node is not running" }

func (c *cluster) start(node string, pools []string) {
	member := MemberName(node, "127.0.0.1:1", uuid.NewString(), time.Now(), 0.4)
	store := tenure.Store{Journal: c.client, Attempts: attempts.NewPolicy()}
	m := NewManager(Options{Node: node, Addr: "127.0.0.1:1", Member: member, Store: store, Membership: c.client,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), OnPeers: func(map[string]string) {},
		Limits:        executor.Limits{Lease: time.Second, ProofAge: 3 * time.Second, KeepEnded: time.Minute},
		ListEndpoints: func(string) []executor.EndpointInfo { return nil },
		Fleet:         func(ctx context.Context, _ Duty) { <-ctx.Done() },
		AskMembers: func(_ context.Context, peer string, in MembersCall) (MembersResult, error) {
			if m := c.manager(peer); m != nil {
				return m.membersResult(in), nil
			}
			return MembersResult{}, unreachableError{}
		},
		Config:        func() published.Digest { return published.Digest{} },
		ObserveConfig: func(string, time.Duration, published.Digest) {},
		NotifyLeaving: func(_ context.Context, peer string) {
			if m := c.manager(peer); m != nil {
				m.markDeparted(member)
			}
		},
	})
	m.SetPools(pools)
	ctx, cancel := context.WithCancel(context.Background())
	r := &process{m: m, stop: cancel, done: make(chan struct{})}
	c.mu.Lock()
	c.processes[node] = r
	c.mu.Unlock()
	go func() {
		defer close(r.done)
		m.Run(ctx)
	}()
}

func (c *cluster) stop(node string) {
	c.mu.Lock()
	r := c.processes[node]
	delete(c.processes, node)
	c.mu.Unlock()
	if r != nil {
		r.stop()
		<-r.done
	}
}

// countServed calls each pool at each node. It returns how many of the calls find an owner,
// and makes nodes that find none read the members again, as Calls does.
func (c *cluster) countServed(pools []string) (served, total int) {
	c.mu.Lock()
	managers := make([]*Manager, 0, len(c.processes))
	for _, r := range c.processes {
		managers = append(managers, r.m)
	}
	c.mu.Unlock()
	for _, m := range managers {
		for _, pool := range pools {
			total++
			owner, ok := m.OwnerOf(pool)
			ownerManager := c.manager(owner.Node)
			if ok && ownerManager != nil && ownerManager.localRunner(pool) != nil {
				served++
				continue
			}
			m.invalidateHolders()
			m.refreshMembers(context.Background(), minMembersInterval)
		}
	}
	return served, total
}

// Guards against callers of some pools that are rejected for ten seconds while all nodes are
// alive. Nodes are restarted in turn while the store is slow or loses answers; claims are
// overtaken, abandoned and found by others, and each node leaves a pool to another. Once the
// store answers again, each node must find an owner for each pool.
func TestEachPoolHasAnOwnerAfterRestartsAndLostAnswers(t *testing.T) {
	pools := []string{"a", "b", "c", "d"}
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			rng := rand.New(rand.NewPCG(seed, 5))
			server, err := wire.New(map[string]int{}, seed)
			g.Expect(err).NotTo(HaveOccurred())
			defer server.Close()
			managers := &cluster{client: platform.NewClient(server.Addr(), server.Addr(), ""), processes: map[string]*process{}}
			nodes := []string{"n-1", "n-2", "n-3", "n-4", "n-5"}
			for _, node := range nodes {
				managers.start(node, pools)
			}
			server.SetFaults(wire.Faults{LostAnswers: 0.5 * rng.Float64(), StoreDelay: time.Duration(rng.IntN(300)) * time.Millisecond})
			for _, node := range nodes {
				managers.stop(node)
				time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
				managers.start(node, pools)
				time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
				managers.countServed(pools)
			}
			server.SetFaults(wire.Faults{})
			g.Eventually(func() string {
				served, asked := managers.countServed(pools)
				return fmt.Sprintf("%d of %d", served, asked)
			}, 30*time.Second, 100*time.Millisecond).Should(Equal("20 of 20"))
			for _, node := range nodes {
				managers.stop(node)
			}
		})
	}
}
