package keys_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cyclamenwheel/internal/dispatch"
	"cyclamenwheel/internal/standin"
	"cyclamenwheel/test/harness"
)

// charge is a non-idempotent request.
type charge struct {
	key  string // "" for none
	body string
	work int // milliseconds
}

// reply is what a caller got: an answer, a typed refusal, or an error where
// its connection broke.
type reply struct {
	status  int
	answer  standin.EndpointAnswer
	problem dispatch.Problem
	err     error
}

func (r reply) answered() bool { return r.err == nil && r.status == http.StatusOK }

// refused tells whether it is a typed refusal that says whether the request
// ran.
func (r reply) refused() bool { return r.err == nil && r.problem.Type != "" && r.problem.Ran != "" }

func (r reply) String() string {
	return fmt.Sprintf("status %d, run %d, problem %s (ran %s, %s), error %v",
		r.status, r.answer.Run, r.problem.Type, r.problem.Ran, r.problem.Detail, r.err)
}

// requests numbers the requests, so that each attempt is known by its id.
var requests atomic.Int64

// send sends a charge to an entry on a connection of its own: no library may
// send it again.
func send(ctx context.Context, e *harness.Process, ch charge) reply {
	id := fmt.Sprintf("keys-%d", requests.Add(1))
	return sendAs(ctx, e, ch, id)
}

func sendAs(ctx context.Context, e *harness.Process, ch charge, id string) reply {
	var body io.Reader = http.NoBody
	if ch.body != "" {
		body = strings.NewReader(ch.body)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.CallerURL()+"/"+pool+"/order", body)
	if err != nil {
		return reply{err: err}
	}
	req.GetBody = nil
	req.Header.Set(standin.HeaderRequestID, id)
	if ch.key != "" {
		req.Header.Set(standin.HeaderIdempotencyKey, ch.key)
	}
	req.Header.Set(standin.HeaderWork, strconv.Itoa(ch.work))
	return read((&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req))
}

func read(resp *http.Response, err error) reply {
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	r := reply{status: resp.StatusCode}
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode == http.StatusOK {
		err = json.Unmarshal(data, &r.answer)
	} else if err == nil {
		err = json.Unmarshal(data, &r.problem)
	}
	r.err = err
	return r
}

// begin sends a charge in the background.
func begin(e *harness.Process, ch charge) <-chan reply {
	out := make(chan reply, 1)
	go func() { out <- send(bg, e, ch) }()
	return out
}

// got waits for a reply.
func got(from <-chan reply) reply {
	GinkgoHelper()
	var r reply
	Eventually(from, harness.Timeout).Should(Receive(&r))
	return r
}

// together sends the same charge to several entries at the same time.
func together(entries []*harness.Process, ch charge) []reply {
	out := make([]reply, len(entries))
	var done sync.WaitGroup
	for i, e := range entries {
		done.Go(func() { out[i] = send(bg, e, ch) })
	}
	done.Wait()
	return out
}

// allTogether sends several charges to several entries, all at the same time,
// and returns the replies to each charge.
func allTogether(entries []*harness.Process, charges []charge) [][]reply {
	out := make([][]reply, len(charges))
	var done sync.WaitGroup
	for i, ch := range charges {
		done.Go(func() { out[i] = together(entries, ch) })
	}
	done.Wait()
	return out
}

// expectAnswer expects the answer of a run.
func expectAnswer(r reply, run int) {
	GinkgoHelper()
	Expect(r.answered()).To(BeTrue(), r.String())
	Expect(r.answer.Run).To(Equal(run), r.String())
}

// expectRan expects the answer of a run, or the statement that it has run or
// may have run. It may not be said to be not run: the caller would charge again
// under a new key.
func expectRan(r reply, run int) {
	GinkgoHelper()
	if r.answered() {
		expectAnswer(r, run)
		return
	}
	Expect(r.refused()).To(BeTrue(), r.String())
	Expect(r.problem.Ran).To(BeElementOf(dispatch.RanYes, dispatch.RanUnknown), r.String())
}

// expectRefused expects a typed refusal.
func expectRefused(r reply, kind dispatch.Type, ran dispatch.Ran) {
	GinkgoHelper()
	Expect(r.refused()).To(BeTrue(), r.String())
	Expect(r.problem.Type).To(Equal(kind), r.String())
	Expect(r.problem.Ran).To(Equal(ran), r.String())
}

// settled sends a charge again until its key is decided on: while an owner
// can't be reached or is changing, callers are asked to come again.
func settled(e *harness.Process, ch charge) reply {
	GinkgoHelper()
	var r reply
	Eventually(func() bool {
		r = send(bg, e, ch)
		return r.answered() || r.refused() && r.problem.Type != dispatch.TypeKeyUnavailable
	}, harness.Timeout, harness.PollInterval).Should(BeTrue(), func() string { return r.String() })
	return r
}

// keysWhere makes up count keys whose place suits.
func keysWhere(c *harness.Cluster, name string, count int, suits func(place) bool) []string {
	GinkgoHelper()
	var keys []string
	for n := 0; len(keys) < count; n++ {
		key := fmt.Sprintf("%s-%d", name, n)
		if suits(placeOf(key, c.Entries())) {
			keys = append(keys, key)
		}
	}
	return keys
}

func keyOf(c *harness.Cluster, name string, owner *harness.Process) string {
	GinkgoHelper()
	return keysWhere(c, name, 1, func(p place) bool { return p.owner == owner })[0]
}
