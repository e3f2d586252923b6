package trial

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"cyclamenwheel/internal/standin/wire"
)

// Submitted is a job and what its caller was told.
type Submitted struct {
	Path     string
	Tasks    int
	Accepted bool
	// Refused reports that every try was turned away as not accepted.
	Refused bool
	// Ends is the state that it has to end in.
	Ends string
	// by is who handed it in, and may ask for it.
	by *Caller
}

const (
	// tries and tryPause are a caller's repetitions under the same id.
	tries    = 6
	tryPause = 300 * time.Millisecond
)

// Submit hands in a job of two steps whose tasks work for workMs each, again
// until it has a final answer.
func (c *Caller) Submit(pool string, number, width, workMs int) Submitted {
	body := fmt.Sprintf(`{"spec":"%d","steps":[{"count":%d,"cpu":1000,"memMb":64,"estMs":%d},{"count":1,"cpu":1000,"memMb":64,"estMs":%d,"after":[0]}]}`,
		workMs, width, workMs, workMs)
	return c.handIn(Submitted{Path: jobPath(pool, number), Tasks: width + 1, Ends: "completed"}, body)
}

// SubmitCrashing hands in a job whose only task crashes the endpoints that start it.
func (c *Caller) SubmitCrashing(pool string, number int) Submitted {
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":1,"cpu":1000,"memMb":64,"estMs":100}]}`, wire.SpecCrashes)
	return c.handIn(Submitted{Path: jobPath(pool, number), Tasks: 1, Ends: "failed"}, body)
}

func jobPath(pool string, number int) string { return fmt.Sprintf("/%s/%016x", pool, number) }

// handIn sends a job until it has a final answer.
func (c *Caller) handIn(s Submitted, body string) Submitted {
	s.Refused, s.by = true, c
	if c.Account != "" {
		c.Cluster.Platform.Owns(c.Account, s.Path[strings.LastIndexByte(s.Path, '/')+1:])
	}
	for range tries {
		status, _ := c.Do(http.MethodPost, s.Path, body)
		switch status {
		case http.StatusOK:
			s.Accepted, s.Refused = true, false
			return s
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		default:
			s.Refused = false
		}
		time.Sleep(tryPause)
	}
	return s
}

// State returns a job's state as a caller sees it, or "" where nobody answers.
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

// AwaitAll, of whichever caller, waits until every accepted job is shown in the state that it has to end in, and
// returns those that are not within the limit.
func (c *Caller) AwaitAll(jobs []Submitted, limit time.Duration) []string {
	deadline := time.Now().Add(limit)
	var left []string
	for _, j := range jobs {
		if !j.Accepted {
			continue
		}
		state := j.by.State(j.Path)
		for state != j.Ends && time.Now().Before(deadline) {
			time.Sleep(50 * time.Millisecond)
			state = j.by.State(j.Path)
		}
		if state != j.Ends {
			left = append(left, j.Path+" is "+state)
		}
	}
	return left
}
