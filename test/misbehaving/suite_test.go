// Package misbehaving_test checks that a process outlives clients outside the platform's limits:
// bodies and headers that do not end, answers that nobody reads, more connections than there are
// descriptors, and bodies that decode into far more than their size. Each spec runs processes with
// little memory and a small crowd, and checks that they live, that memory and descriptors stay
// within the settings, and that an ordinary request is answered. go test runs it.
package misbehaving_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/standin/trial"
	"cyclamenwheel/internal/standin/wire"
	"cyclamenwheel/test/harness"
)

func TestMisbehaving(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Misbehaving clients")
}

const (
	host = "jobs.example"
	pool = "tabs"
	// memoryMiB is the memory of a node, half of that of the smallest instance.
	memoryMiB = 80
	// maxBody is the largest body that the configuration allows.
	maxBody = 256 << 10
	// bodies is a crowd whose bodies exceed the memory, connections one that exceeds the descriptors,
	// and writers a crowd whose members each send wholeRequests whole requests one after another.
	bodies        = 400
	connections   = 1000
	writers       = 16
	wholeRequests = 20
	// descriptors is the limit of open files of a node that meets more connections than that.
	// reserved are those that files, the store, endpoints and other nodes need.
	descriptors, reserved = 600, 100
	// answers is how many ordinary requests in a row are answered beside a crowd.
	answers = 50
	// conditionTimeout bounds waits for conditions, far above the time they usually take.
	conditionTimeout = 60 * time.Second
)

var program string

var _ = BeforeSuite(func() {
	var err error
	program, err = trial.BuildNode(GinkgoT().TempDir())
	Expect(err).NotTo(HaveOccurred())
})

var _ = AfterSuite(harness.RemoveBinaries)

// target is a cluster of nodes with little memory, and an ordinary caller.
type target struct {
	*trial.Cluster
	caller *trial.Caller
	usage  []*usage
	jobs   int
}

// start runs nodes that serve a pool of two instances.
func start(nodes int, opts trial.Options) *target {
	GinkgoHelper()
	platform, err := wire.New(map[string]int{pool: 2}, 1)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(platform.Close)
	Expect(platform.Publish(1, host, pool)).To(Succeed())
	t := startOn(platform, nodes, opts)
	for _, n := range t.Nodes() {
		Eventually(n.Ready, conditionTimeout).Should(BeTrue())
	}
	t.expectOrdinaryAnswer()
	return t
}

// startOn runs nodes on a platform and watches their use of resources.
func startOn(platform *wire.Platform, nodes int, opts trial.Options) *target {
	GinkgoHelper()
	opts.Memory = fmt.Sprintf("%dMiB", memoryMiB)
	c, err := trial.StartWith(program, GinkgoT().TempDir(), platform, nodes, opts)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			for _, n := range c.Nodes() {
				GinkgoWriter.Println(lastLines(n.Log()))
			}
		}
	})
	t := &target{Cluster: c, caller: &trial.Caller{Cluster: c, Host: host}}
	for _, n := range c.Nodes() {
		t.usage = append(t.usage, watch(n.PID(), n.Front))
	}
	return t
}

// lastLines returns the end of a log.
func lastLines(log string) string {
	const shown = 8 << 10
	return log[max(0, len(log)-shown):]
}

// expectOrdinaryAnswer expects that a small job is accepted at every node.
func (t *target) expectOrdinaryAnswer() {
	GinkgoHelper()
	for range t.Nodes() {
		Eventually(func() int { return t.submitSmall() }, conditionTimeout).Should(Equal(http.StatusOK))
	}
}

// expectOrdinaryAnswers expects answers one after another, so that a crowd has come in full.
func (t *target) expectOrdinaryAnswers() {
	GinkgoHelper()
	for range answers {
		t.expectOrdinaryAnswer()
	}
}

// submitSmall submits a small job and returns the status.
func (t *target) submitSmall() int {
	t.jobs++
	status, _ := t.caller.Do(http.MethodPost, fmt.Sprintf("/%s/%016x", pool, 0xa000000+t.jobs), `{"spec":"10","steps":[{"count":1,"cpu":100,"memMb":16,"estMs":10}]}`)
	return status
}

// expectWithinLimits expects that every node lives, within the memory of its settings and the given
// descriptors.
func (t *target) expectWithinLimits(maxDescriptors int) {
	GinkgoHelper()
	for i, n := range t.Nodes() {
		Expect(n.Ended()).To(BeFalse(), n.Name+" has ended")
		peak := t.usage[i].peak()
		AddReportEntry(n.Name, peak.String())
		Expect(peak.memory).To(BeNumerically("<=", memoryMiB<<20), "memory of "+n.Name+": "+peak.String())
		Expect(peak.descriptors).To(BeNumerically("<=", maxDescriptors), "descriptors of "+n.Name)
	}
}

// outlives lets a crowd send to every node, and expects ordinary answers while its connections are
// open.
func (t *target) outlives(size int, send func(*member)) {
	GinkgoHelper()
	for _, n := range t.Nodes() {
		gather(size, n.Front, send)
	}
	t.expectOrdinaryAnswers()
	t.expectWithinLimits(unlimited)
}

// unlimited is the bound on descriptors of nodes that were started without one.
const unlimited = 1 << 20

// padded returns a legal job as a body of the given size.
func padded(size int) string {
	job := `{"spec":"10","steps":[{"count":1,"cpu":100,"memMb":16,"estMs":10}]`
	return job + strings.Repeat(" ", size-len(job)-1) + "}"
}
