package harness

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cyclamenwheel/internal/entry"
	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/node"
	"cyclamenwheel/internal/operator"
	"cyclamenwheel/internal/planner"
)

// bg is the context of calls whose client has its own timeout.
var bg = context.Background()

// inspectTimeout bounds one request to an operator port, as a paused process
// never answers.
const inspectTimeout = time.Second

// inspectClient sends requests to operator ports. It keeps no connections, as
// a paused or killed process would leave them unusable.
var inspectClient = &http.Client{Timeout: inspectTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// Status is the response of a process at /status.
type Status struct {
	StartedAt time.Time          `json:"started_at"`
	Readiness operator.Readiness `json:"readiness"`
	Detail    node.Status        `json:"detail"`
}

// UnansweredError says that a process did not return the expected response.
type UnansweredError struct{ ID, Detail string }

func (e *UnansweredError) Error() string { return e.ID + " does not answer: " + e.Detail }

func (p *Process) getJSON(path string, into any) error {
	resp, err := inspectClient.Get("http://" + p.OperatorAddr() + path)
	if err != nil {
		return &UnansweredError{ID: p.ID, Detail: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &UnansweredError{ID: p.ID, Detail: resp.Status}
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return &UnansweredError{ID: p.ID, Detail: err.Error()}
	}
	return nil
}

// Status returns the status of the process.
func (p *Process) Status() (Status, error) {
	var st Status
	err := p.getJSON("/status", &st)
	return st, err
}

// Dump decodes one section of the dump of the process.
func (p *Process) Dump(section string, into any) error {
	var all map[string]json.RawMessage
	if err := p.getJSON("/dump?section="+section, &all); err != nil {
		return err
	}
	if err := json.Unmarshal(all[section], into); err != nil {
		return &UnansweredError{ID: p.ID, Detail: err.Error()}
	}
	return nil
}

// EntryView returns the routes of the entry.
func (p *Process) EntryView() (entry.View, error) {
	var v entry.View
	return v, p.Dump("entry", &v)
}

// PlannerView returns the latest decisions of the planner.
func (p *Process) PlannerView() (planner.View, error) {
	var v planner.View
	return v, p.Dump("planner", &v)
}

// Ready reports whether the process reports itself ready.
func (p *Process) Ready() bool {
	st, err := p.Status()
	return err == nil && st.Readiness.Ready
}

// AwaitReady waits until the process is ready.
func (p *Process) AwaitReady() {
	ginkgo.GinkgoHelper()
	gomega.Eventually(func(g gomega.Gomega) {
		st, err := p.Status()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(st.Readiness.Reasons).To(gomega.BeEmpty(), p.ID)
	}, Timeout, PollInterval).Should(gomega.Succeed())
}

// AwaitMember waits until the running incarnation answers and is a member.
func (p *Process) AwaitMember() {
	ginkgo.GinkgoHelper()
	gomega.Eventually(func(g gomega.Gomega) {
		st, err := p.Status()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(st.Readiness.Reasons).NotTo(gomega.ContainElement("not yet a member"), p.ID)
		g.Expect(st.Detail.Offset).NotTo(gomega.BeZero())
	}, Timeout, PollInterval).Should(gomega.Succeed())
}

// Generation returns the manifest generation that the process reports, or 0
// if it does not answer.
func (p *Process) Generation() uint64 {
	st, _ := p.Status()
	return st.Detail.Generation
}

// Fold reads the platform's log directly and returns the folded state,
// independent of the state of any process.
func (c *Cluster) Fold() *fleetlog.State {
	ginkgo.GinkgoHelper()
	st, _ := c.FoldWith(nil)
	return st
}
