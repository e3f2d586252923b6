// Package graceful_test proves that a planned stop, of the system's own
// processes or of endpoints, cuts no request in flight.
package graceful_test

import (
	"io"
	"net/http"
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/manifest"
	"cyclamenwheel/internal/standin"
	"cyclamenwheel/test/harness"
)

func TestGraceful(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Graceful")
}

var _ = AfterSuite(harness.RemoveBinaries)

// Pools of the fleet: six instances each, of which two may be away.
const (
	poolTabs    = "tabs"
	poolCharges = "charges"
	poolCount   = 6
	poolMin     = 4
	parallel    = 2
)

// slowWork is how long a slow request takes, in milliseconds.
const slowWork = 1000

// impatient is the drain limit of a platform that hardly waits for requests in
// flight, in milliseconds.
const impatient = 100

// readyGrace is four looks of the balancer at an entry's readiness.
const readyGrace = "400ms"

func fleetManifest(revision int) *manifest.Manifest {
	pool := func(name string) harness.ServicePool {
		return harness.ServicePool{Name: name, Count: poolCount, MinAvailable: poolMin, Revision: revision}
	}
	return harness.Manifest(parallel, pool(poolTabs), pool(poolCharges))
}

// fewInstances are enough where what is replaced is not the point; a user of
// today has allInstances.
const (
	fewInstances = 3
	allInstances = 7
)

// formed is a fleet that serves, with as many entries as control processes.
func formed(instances int) *harness.Cluster {
	GinkgoHelper()
	c := harness.New(harness.Options{
		Entries: instances, Controls: instances,
		Settings: map[string]map[string]string{"timing": {"ready_grace": readyGrace}},
	})
	c.Form(fleetManifest(0))
	return c
}

// reply is what a caller got.
type reply struct {
	status int
	body   string
	err    error
}

// slowCharge sends a slow non-idempotent request straight to an entry and
// returns once an endpoint runs it.
func slowCharge(c *harness.Cluster, entry *harness.Process, id string) <-chan reply {
	GinkgoHelper()
	req, err := http.NewRequest(http.MethodPost, entry.CallerURL()+"/"+poolTabs+"/order/"+id, http.NoBody)
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set(standin.HeaderRequestID, id)
	req.Header.Set(standin.HeaderWork, strconv.Itoa(slowWork))
	out := make(chan reply, 1)
	go func() { out <- send(req) }()
	Eventually(func() bool {
		hist, err := c.Standin.History(GinkgoT().Context(), 1)
		return err == nil && runs(hist, id) == 1
	}, harness.Timeout, harness.PollInterval).Should(BeTrue(), "the slow request has not begun")
	return out
}

func send(req *http.Request) reply {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: string(body), err: err}
}

func runs(hist standin.History, id string) int {
	n := 0
	for _, r := range hist.Runs {
		if r.RequestID == id {
			n++
		}
	}
	return n
}
