package harness

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cyclamenwheel/internal/dispatch"
	"cyclamenwheel/internal/standin"
)

// Request is one HTTP request of a caller.
type Request struct {
	// ID is the X-Request-Id; RunsOf finds the runs of the request by it.
	ID      string
	Method  string // GET by default
	Service string
	Body    string
	// Work is the service time requested from the endpoint, Deadline the
	// deadline that the caller sends.
	Work, Deadline time.Duration
}

// Reply is the outcome of a request as the caller sees it.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Problem is set and Refused true if the entry answered with a problem
	// document of its own.
	Problem dispatch.Problem
	Refused bool
	// Err is set if no complete answer arrived.
	Err error
}

// callerClient opens a new connection for each request and never retries or
// follows redirects.
var callerClient = &http.Client{
	Timeout:       Timeout,
	Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// Send sends a request to an entry and returns the outcome.
func (p *Process) Send(r Request) Reply {
	ginkgo.GinkgoHelper()
	if r.Method == "" {
		r.Method = http.MethodGet
	}
	req, err := http.NewRequest(r.Method, p.CallerURL()+"/"+r.Service+"/item/1", strings.NewReader(r.Body))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	req.GetBody = nil
	req.Header.Set(dispatch.HeaderRequestID, r.ID)
	if r.Work > 0 {
		req.Header.Set(standin.HeaderWork, strconv.FormatInt(r.Work.Milliseconds(), 10))
	}
	if r.Deadline > 0 {
		req.Header.Set(dispatch.HeaderDeadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	}
	resp, err := callerClient.Do(req)
	if err != nil {
		return Reply{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	out := Reply{Status: resp.StatusCode, Header: resp.Header}
	out.Body, out.Err = io.ReadAll(resp.Body)
	if out.Err == nil && resp.Header.Get("Content-Type") == dispatch.ProblemContentType {
		gomega.Expect(json.Unmarshal(out.Body, &out.Problem)).To(gomega.Succeed())
		out.Refused = true
	}
	return out
}

// IsAnswerTo reports whether the reply is the endpoint's complete answer to the
// given request: its request ID, service and body hash all match.
func (r Reply) IsAnswerTo(to Request) bool {
	var answer standin.EndpointAnswer
	if r.Err != nil || r.Refused || json.Unmarshal(r.Body, &answer) != nil {
		return false
	}
	sum := sha256.Sum256([]byte(to.Body))
	return answer.RequestID == to.ID && r.Header.Get(dispatch.HeaderRequestID) == to.ID &&
		answer.Service == to.Service && answer.BodySHA256 == hex.EncodeToString(sum[:])
}

// RunsOf returns all runs of a request that the endpoints recorded.
func (c *Cluster) RunsOf(id string) []standin.Run {
	ginkgo.GinkgoHelper()
	hist, err := c.Standin.History(bg, 1)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(hist.Dropped).To(gomega.BeZero())
	var out []standin.Run
	for _, run := range hist.Runs {
		if run.RequestID == id {
			out = append(out, run)
		}
	}
	return out
}
