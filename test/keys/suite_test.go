// Package keys proves that a non-idempotent request with an Idempotency-Key
// runs at most once, whichever entries receive it, however often, and whatever
// fails meanwhile. The verdict is the platform's: its own history of what
// endpoints ran, and the log.
package keys_test

import (
	"context"
	"net/http"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/idempotency"
	"cyclamenwheel/internal/rendezvous"
	"cyclamenwheel/internal/standin"
	"cyclamenwheel/test/harness"
)

func TestKeys(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Promise: a keyed request runs at most once")
}

var _ = AfterSuite(harness.RemoveBinaries)

var bg = context.Background()

// The fleet: one pool, and the service of its name.
const (
	pool      = "tabs"
	poolCount = 8
	poolMin   = 6
	parallel  = 2
)

// entryCount spreads the entries over three availability zones, one of which
// has two.
const entryCount = 4

// readyGrace is four looks of the balancer at an entry's readiness.
const readyGrace = "400ms"

// formed is a fleet that serves, whose entries may all grant by witness.
func formed(entries int, limits map[string]string) *harness.Cluster {
	GinkgoHelper()
	c := harness.New(harness.Options{
		Entries: entries, Settings: map[string]map[string]string{
			"limits": limits, "timing": {"ready_grace": readyGrace},
		},
	})
	c.Form(harness.Manifest(parallel, harness.ServicePool{Name: pool, Count: poolCount, MinAvailable: poolMin}))
	for _, e := range c.Entries() {
		awaitProven(e, entries)
	}
	return c
}

// awaitProven waits until an entry knows that many owners, and has read the
// log up to the change that made them so.
func awaitProven(e *harness.Process, owners int) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		st, err := keysOf(e)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(st.View.Members).To(HaveLen(owners), e.ID)
		g.Expect(st.View.Pending).To(BeNil(), e.ID)
		g.Expect(st.CaughtUp).To(BeTrue(), e.ID)
	}, harness.Timeout, harness.PollInterval).Should(Succeed())
}

func keysOf(e *harness.Process) (idempotency.ServiceStatus, error) {
	var st idempotency.ServiceStatus
	return st, e.Dump("keys", &st)
}

// place tells which entries hold a key's claims: its owner, and the witness in
// another availability zone.
type place struct{ owner, witness *harness.Process }

func placeOf(key string, entries []*harness.Process) place {
	GinkgoHelper()
	first := choose(key, entries, func(*harness.Process) bool { return true })
	return place{
		owner:   first,
		witness: choose(key, entries, func(p *harness.Process) bool { return p.Zone != first.Zone }),
	}
}

func choose(key string, entries []*harness.Process, eligible func(*harness.Process) bool) *harness.Process {
	GinkgoHelper()
	var ids []string
	for _, e := range entries {
		if eligible(e) {
			ids = append(ids, e.ID)
		}
	}
	hash := idempotency.HashKey(pool, key)
	id, ok := rendezvous.Owner(hash[:], ids)
	Expect(ok).To(BeTrue())
	return entries[slices.IndexFunc(entries, func(e *harness.Process) bool { return e.ID == id })]
}

// others returns the entries without some.
func others(c *harness.Cluster, without ...*harness.Process) []*harness.Process {
	return slices.DeleteFunc(c.Entries(), func(e *harness.Process) bool { return slices.Contains(without, e) })
}

// runsOf returns the runs of charges with a key; "" for those without one.
func runsOf(c *harness.Cluster, key string) []standin.Run {
	GinkgoHelper()
	hist, err := c.Standin.History(bg, 1)
	Expect(err).NotTo(HaveOccurred())
	return slices.DeleteFunc(hist.Runs, func(r standin.Run) bool {
		return r.IdempotencyKey != key || r.Method != http.MethodPost
	})
}

// awaitRun waits until an endpoint runs a key.
func awaitRun(c *harness.Cluster, key string) {
	GinkgoHelper()
	Eventually(func() []standin.Run { return runsOf(c, key) }, harness.Timeout, harness.PollInterval).Should(HaveLen(1))
}
