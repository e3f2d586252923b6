package trial

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"cyclamenwheel/internal/standin/wire"
)

// Submission is a job and the answer that its caller got.
type Submission struct {
	Path     string
	Tasks    int
	Accepted bool
	// Refused reports that every attempt was refused as not accepted.
	Refused bool
	// WantState is the state that the job must end in.
	WantState string
	// caller submitted the job, and may query it.
	caller *Caller
}

const (
	// maxAttempts and retryDelay apply to retries of a submission under the same id.
	maxAttempts = 6
	retryDelay  = 300 * time.Millisecond
)

// Submit submits a job of two steps whose tasks run for workMs each, with retries until it is
// accepted.
func (c *Caller) Submit(pool string, number, width, workMs int) Submission {
	body := fmt.Sprintf(`{"spec":"%d","steps":[{"count":%d,"cpu":1000,"memMb":64,"estMs":%d},{"count":1,"cpu":1000,"memMb":64,"estMs":%d,"after":[0]}]}`,
		workMs, width, workMs, workMs)
	return c.submit(Submission{Path: jobPath(pool, number), Tasks: width + 1, WantState: "completed"}, body)
}

// SubmitCrashing submits a job whose only task crashes the endpoints that start it.
func (c *Caller) SubmitCrashing(pool string, number int) Submission {
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":1,"cpu":1000,"memMb":64,"estMs":100}]}`, wire.SpecCrashes)
	return c.submit(Submission{Path: jobPath(pool, number), Tasks: 1, WantState: "failed"}, body)
}

// SubmitService submits a job whose tasks run until it is cancelled, on separate endpoints, with a
// disruption budget of one task that the platform checks.
func (c *Caller) SubmitService(pool string, number, width int) Submission {
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":1000,"memMb":64,"estMs":300,"longRunning":true,"mayMiss":1,"maxPerServer":1}]}`, wire.SpecServes, width)
	c.Cluster.Platform.WatchBudget(fmt.Sprintf("%016x", number), 1, width)
	return c.submit(Submission{Path: jobPath(pool, number), Tasks: width, WantState: "running"}, body)
}

func jobPath(pool string, number int) string { return fmt.Sprintf("/%s/%016x", pool, number) }

// submit sends a job until it is accepted or maxAttempts is reached.
func (c *Caller) submit(s Submission, body string) Submission {
	s.Refused, s.caller = true, c
	if c.Account != "" {
		c.Cluster.Platform.SetJobAccount(c.Account, s.Path[strings.LastIndexByte(s.Path, '/')+1:])
	}
	for range maxAttempts {
		status, _ := c.Do(http.MethodPost, s.Path, body)
		switch status {
		case http.StatusOK:
			s.Accepted, s.Refused = true, false
			return s
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		default:
			s.Refused = false
		}
		time.Sleep(retryDelay)
	}
	return s
}

// State returns the state of a job as its caller sees it, or "" if the request fails.
func (c *Caller) State(path string) string {
	status, answer := c.Do(http.MethodGet, path, "")
	if status == http.StatusGone {
		return "gone"
	}
	if status != http.StatusOK {
		return ""
	}
	for _, state := range []string{"queued", "running", "completed", "failed", "cancelled"} {
		if strings.Contains(answer, `"`+state+`"`) {
			return state
		}
	}
	return ""
}

// AwaitAll waits until every accepted job, of any caller, has the state that it must end in. It
// returns the jobs that do not reach it within the limit.
func (c *Caller) AwaitAll(jobs []Submission, limit time.Duration) []string {
	deadline := time.Now().Add(limit)
	var unfinished []string
	for _, j := range jobs {
		if !j.Accepted {
			continue
		}
		state := j.caller.State(j.Path)
		for state != j.WantState && time.Now().Before(deadline) {
			time.Sleep(50 * time.Millisecond)
			state = j.caller.State(j.Path)
		}
		if state != j.WantState {
			unfinished = append(unfinished, j.Path+" is "+state)
		}
	}
	return unfinished
}
