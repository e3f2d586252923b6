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

// bg is for calls that are bounded by their client.
var bg = context.Background()

// askLimit bounds one question to a process: a frozen one never answers.
const askLimit = time.Second

// operators' ports are asked without connections kept: a frozen or killed
// process leaves none behind.
var asker = &http.Client{Timeout: askLimit, Transport: &http.Transport{DisableKeepAlives: true}}

// Status is a process's answer at /status.
type Status struct {
	StartedAt time.Time          `json:"started_at"`
	Readiness operator.Readiness `json:"readiness"`
	Detail    node.Status        `json:"detail"`
}

// UnansweredError says that a process did not answer as expected.
type UnansweredError struct{ ID, Detail string }

func (e *UnansweredError) Error() string { return e.ID + " does not answer: " + e.Detail }

func (p *Process) ask(path string, into any) error {
	resp, err := asker.Get("http://" + p.OperatorAddr() + path)
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

// Status asks the process for its status.
func (p *Process) Status() (Status, error) {
	var st Status
	err := p.ask("/status", &st)
	return st, err
}

// Dump asks the process for a section of its dump.
func (p *Process) Dump(section string, into any) error {
	var all map[string]json.RawMessage
	if err := p.ask("/dump?section="+section, &all); err != nil {
		return err
	}
	if err := json.Unmarshal(all[section], into); err != nil {
		return &UnansweredError{ID: p.ID, Detail: err.Error()}
	}
	return nil
}

// EntryView is the entry's own view of its routes.
func (p *Process) EntryView() (entry.View, error) {
	var v entry.View
	return v, p.Dump("entry", &v)
}

// PlannerView is what the planner last decided.
func (p *Process) PlannerView() (planner.View, error) {
	var v planner.View
	return v, p.Dump("planner", &v)
}

// Ready reports whether the process says that it is ready.
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
	}, Patience, Poll).Should(gomega.Succeed())
}

// AwaitMember waits until the present boot answers and is a member.
func (p *Process) AwaitMember() {
	ginkgo.GinkgoHelper()
	gomega.Eventually(func(g gomega.Gomega) {
		st, err := p.Status()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(st.Readiness.Reasons).NotTo(gomega.ContainElement("not yet a member"), p.ID)
		g.Expect(st.Detail.Offset).NotTo(gomega.BeZero())
	}, Patience, Poll).Should(gomega.Succeed())
}

// Generation is the generation that the process reports, 0 if it does not
// answer.
func (p *Process) Generation() uint64 {
	st, _ := p.Status()
	return st.Detail.Generation
}

// Fold reads the platform's log itself and returns the state that it folds to.
// It sees what is in the log, not what any process has made of it.
func (c *Cluster) Fold() *fleetlog.State {
	ginkgo.GinkgoHelper()
	st, _ := c.FoldWith(nil)
	return st
}
