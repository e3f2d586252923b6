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
	"cyclamenwheel/internal/standin/wire"
	"cyclamenwheel/internal/tenure"
	"cyclamenwheel/platform"
)

// cluster is some managers on one store that reach each other directly.
type cluster struct {
	client *platform.Client
	mu     sync.Mutex
	here   map[string]*process
}

type process struct {
	m    *Manager
	stop context.CancelFunc
	done chan struct{}
}

func (c *cluster) of(node string) *Manager {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.here[node]; r != nil {
		return r.m
	}
	return nil
}

// absentError says that a node is not there.
type absentError struct{}

func (absentError) Error() string { return "not there" }

func (c *cluster) start(node string, pools []string) {
	member := MemberName(node, "127.0.0.1:1", uuid.NewString(), time.Now(), 0.4)
	store := tenure.Store{Journal: c.client, Attempts: attempts.NewPolicy()}
	m := NewManager(Options{Node: node, Addr: "127.0.0.1:1", Member: member, Store: store, Membership: c.client,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), OnPeers: func(map[string]string) {},
		Limits: executor.Limits{Lease: time.Second, ProofAge: 3 * time.Second, KeepEnded: time.Minute},
		Fleet:  func(ctx context.Context, _ Duty) { <-ctx.Done() },
		AskMembers: func(_ context.Context, peer string) (MembersResult, error) {
			if m := c.of(peer); m != nil {
				return m.lastRows(), nil
			}
			return MembersResult{}, absentError{}
		},
		SayLeft: func(_ context.Context, peer string) {
			if m := c.of(peer); m != nil {
				m.left(member)
			}
		},
	})
	m.SetPools(pools)
	ctx, cancel := context.WithCancel(context.Background())
	r := &process{m: m, stop: cancel, done: make(chan struct{})}
	c.mu.Lock()
	c.here[node] = r
	c.mu.Unlock()
	go func() {
		defer close(r.done)
		m.Run(ctx)
	}()
}

func (c *cluster) stop(node string) {
	c.mu.Lock()
	r := c.here[node]
	delete(c.here, node)
	c.mu.Unlock()
	if r != nil {
		r.stop()
		<-r.done
	}
}

// ask is a caller's call at each node, for each pool: it returns how many of them find
// an owner, and lets nodes that don't look again as Calls does.
func (c *cluster) ask(pools []string) (served, asked int) {
	c.mu.Lock()
	managers := make([]*Manager, 0, len(c.here))
	for _, r := range c.here {
		managers = append(managers, r.m)
	}
	c.mu.Unlock()
	for _, m := range managers {
		for _, pool := range pools {
			asked++
			owner, ok := m.OwnerOf(pool)
			at := c.of(owner.Node)
			if ok && at != nil && at.local(pool) != nil {
				served++
				continue
			}
			m.doubtHolders()
			m.refreshMembers(context.Background(), membersMin)
		}
	}
	return served, asked
}

// Callers of some pools are sent away for ten seconds while every node lives. Nodes are
// restarted in turn while the store is slow or loses answers; claims are overtaken,
// given up and found by others, and each node leaves a pool to another. Once the store
// answers again, each node finds an owner for each pool.
func TestEachPoolFindsAnOwnerAfterTrouble(t *testing.T) {
	pools := []string{"a", "b", "c", "d"}
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			rng := rand.New(rand.NewPCG(seed, 5))
			stand, err := wire.New(map[string]int{}, seed)
			g.Expect(err).NotTo(HaveOccurred())
			defer stand.Close()
			managers := &cluster{client: platform.NewClient(stand.Addr(), stand.Addr(), ""), here: map[string]*process{}}
			nodes := []string{"n-1", "n-2", "n-3", "n-4", "n-5"}
			for _, node := range nodes {
				managers.start(node, pools)
			}
			stand.SetFaults(wire.Faults{LostAnswers: 0.5 * rng.Float64(), StoreDelay: time.Duration(rng.IntN(300)) * time.Millisecond})
			for _, node := range nodes {
				managers.stop(node)
				time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
				managers.start(node, pools)
				time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
				managers.ask(pools)
			}
			stand.SetFaults(wire.Faults{})
			g.Eventually(func() string {
				served, asked := managers.ask(pools)
				return fmt.Sprintf("%d of %d", served, asked)
			}, 30*time.Second, 100*time.Millisecond).Should(Equal("20 of 20"))
			for _, node := range nodes {
				managers.stop(node)
			}
		})
	}
}
