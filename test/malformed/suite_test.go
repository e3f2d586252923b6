// Package malformed_test proves that an entry outlives whatever is sent to its
// ports, goes on answering, and keeps nothing of it.
package malformed_test

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/certs"
	"cyclamenwheel/internal/standin"
	"cyclamenwheel/test/harness"
)

func TestMalformed(test *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(test, "Malformed input")
}

var _ = AfterSuite(harness.RemoveBinaries)

const (
	poolTabs = "tabs"
	// repeats is how often each input is sent: what one of them leaves behind
	// shows in the process's levels.
	repeats = 20
	// readLimit bounds the wait for what the entry says to an input; many are
	// such that it says nothing.
	readLimit = 200 * time.Millisecond
)

// workers of the pool.
var workers = harness.WorkerIDs(1, 2, 3, 4, 5, 6)

// target is an entry under attack.
type target struct {
	cluster *harness.Cluster
	entry   *harness.Process
	started time.Time
	rest    harness.Levels
	n       int
}

// t is the one target of the suite: an entry must outlive all of it.
var t *target

var _ = BeforeSuite(func() { t = form() })

// form forms a fleet with two entries; the first is the target.
func form() *target {
	GinkgoHelper()
	c := harness.New(harness.Options{Entries: 2, Controls: 1})
	c.Form(harness.Manifest(1, harness.ServicePool{Name: poolTabs, IDs: workers, MinAvailable: 2}))
	st, err := c.Entry(0).Status()
	Expect(err).NotTo(HaveOccurred())
	return &target{cluster: c, entry: c.Entry(0), started: st.StartedAt}
}

// answers expects that the next good request is answered.
func (t *target) answers() {
	GinkgoHelper()
	t.n++
	r := harness.Request{ID: fmt.Sprintf("good-%d", t.n), Service: poolTabs}
	got := t.entry.Send(r)
	Expect(got.IsAnswerTo(r)).To(BeTrue(), "%d %v %s", got.Status, got.Err, got.Body)
}

// begin notes what the entry holds before a scenario.
func (t *target) begin() {
	GinkgoHelper()
	t.setFault(standin.EndpointFault{})
	t.answers()
	t.rest = t.entry.LevelsAtRest()
}

// outlives expects that the entry is the same process as ever, ready, answers
// on, and holds no more than before.
func (t *target) outlives() {
	GinkgoHelper()
	t.answers()
	st, err := t.entry.Status()
	Expect(err).NotTo(HaveOccurred())
	Expect(st.StartedAt).To(Equal(t.started), "the entry has restarted")
	Expect(st.Readiness.Reasons).To(BeEmpty())
	t.entry.AwaitLevels(t.rest)
	Expect(t.entry.PlainLogLines()).To(BeEmpty(), "not JSON")
}

func (t *target) setFault(f standin.EndpointFault) {
	GinkgoHelper()
	for _, id := range workers {
		Expect(t.cluster.Standin.SetEndpointFault(GinkgoT().Context(), id, f)).To(Succeed())
	}
}

func (t *target) callers() string   { return strings.TrimPrefix(t.entry.CallerURL(), "http://") }
func (t *target) operators() string { return t.entry.OperatorAddr() }

// throw sends raw bytes to a port, on several connections at once, and reads
// what comes back.
func throw(addr string, input []byte) {
	GinkgoHelper()
	var wg sync.WaitGroup
	for range repeats {
		wg.Go(func() {
			defer GinkgoRecover()
			conn, err := net.Dial("tcp", addr)
			Expect(err).NotTo(HaveOccurred())
			_ = conn.SetDeadline(time.Now().Add(readLimit))
			_, _ = conn.Write(input) // the entry may have closed it half-way
			_, _ = conn.Read(make([]byte, 1<<10))
			_ = conn.Close()
		})
	}
	wg.Wait()
}

// identity of a peer that the deployment's CA vouches for.
const (
	strangerRole = certs.RoleControl
	strangerID   = "stranger"
)
